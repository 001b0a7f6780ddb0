// Package peer connects the nodes to each other: it sends requests and one-way messages
// over WebSocket links with CBOR encoding, and maintains the node's view of which nodes
// are alive.
//
// Packages node and relay send their messages through a Mesh. Package membership decides
// which nodes are alive and which are neighbours; this package opens and checks the links
// and passes it the results. A node keeps links to its neighbours and dials other nodes
// only when it has a message for them. Package peer never interprets the messages of
// other packages and never retries them.
//
// A frame is a CBOR array. Message bodies are CBOR maps with small integer keys, so that
// a field can be added without a new protocol version: unknown keys are ignored, missing
// ones decode as zero.
package peer
