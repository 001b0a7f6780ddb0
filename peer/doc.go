// Package peer carries messages between the nodes of the system over WebSocket
// links with CBOR, and keeps each node's view of which nodes are alive.
//
// Links are few: a node keeps links to its neighbours (package membership) and
// dials others when it has something for them. A frame is a CBOR array; bodies are CBOR
// maps with small integer keys, so that a field can be added without a new
// protocol version: unknown keys are ignored, absent ones are zero.
package peer
