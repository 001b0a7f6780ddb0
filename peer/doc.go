// Package peer carries messages between the nodes of the system over WebSocket
// links with CBOR, and keeps each node's view of which nodes are alive.
package peer
