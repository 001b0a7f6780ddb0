// Package fold turns the decision stream of the platform's log into the agreed
// state: configuration in force, leases, permits and command claims. It has no
// clock, no input and no output: the same records give the same state, byte for
// byte, at every node.
package fold
