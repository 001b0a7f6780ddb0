// Package fold is the replicated state machine over the decision stream of the platform's
// log. A State holds the configuration in force, the leases of backend servers, the permits
// to load models and the claims of idempotency keys. The package applies batches of records
// to a State and decides which records are valid.
//
// Package platformlog appends the records, applies them at every node and stores
// snapshots; packages node and operator read the State. The package does no I/O and
// reads no clock, so that the same records give the same state at every node, byte for
// byte.
package fold
