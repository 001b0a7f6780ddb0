package commands

import (
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/platform"
)

const (
	// readHeaderTimeout, idleConnectionTimeout and maximumHeaderBytes are wider than the
	// limits that operators set, which can change while connections are open.
	readHeaderTimeout     = 10 * time.Second
	idleConnectionTimeout = 2 * time.Minute
	maximumHeaderBytes    = 64 << 10
	// nodeRequestTimeout bounds a request to a port that is not for callers, and its response. A
	// link of a node outlasts it.
	nodeRequestTimeout = 10 * time.Second
	// nodeHeaderBytes bounds the head of such a request, and nodeHeadMemoryShare all of them on one
	// port, as a fraction of the VM's memory.
	nodeHeaderBytes     = 8 << 10
	nodeHeadMemoryShare = 0.005
	// nodeReceiveBuffer is the receive buffer of a connection to such a port. Requests and the
	// reports of nodes are short.
	nodeReceiveBuffer = 16 * domain.Kibibyte

	// callerMemoryShare and peerMemoryShare are the fractions of the VM's memory that the
	// connections of callers and of other nodes may take. The heads, the messages and the process
	// itself need the rest.
	callerMemoryShare = 0.30
	peerMemoryShare   = 0.14
	// callerConnectionCost is what a connection of a caller takes at most in this process, beside
	// the bounded memory of heads and messages: 5 KB if idle, 15 KB with a request that waits for
	// its body, 73 KB with 59 KB of a body, of which the first 64 KiB are not bounded otherwise.
	callerConnectionCost = 80 * domain.Kibibyte
	// peerConnectionCost is the same for the link of a node, with the beginning of a message.
	peerConnectionCost = 32 * domain.Kibibyte
	// reservedFiles is the number of descriptors that are not for connections of callers, nodes and
	// servers: the store, listeners and files.
	reservedFiles = 200
	// callerFilesShare and peerFilesShare are the fractions of the other descriptors that callers
	// and nodes may take. A request of a caller takes one more for its server.
	callerFilesShare = 0.4
	peerFilesShare   = 0.15
	// minimumConnections is the least limit that is derived from a VM.
	minimumConnections = 32
	// connectionsPerWaiting is the limit of connections for each one that may wait to be accepted,
	// and minimumBacklog the least number of these: as many as come while a node stands still for a
	// moment.
	connectionsPerWaiting = 2
	minimumBacklog        = 32
	fractionPerPercent    = 0.01
	// The bounds of the sizes of buffers, in KiB. Smaller ones would hold back ordinary heads.
	minimumBufferKiB, maximumBufferKiB = 4, 4096
)

// ListenerFlags are the flags that bound what clients take of a node.
type ListenerFlags struct {
	CallerConnections  int     `default:"0" help:"Most open connections of callers; 0 derives it from the VM's memory and descriptors."`
	PeerConnections    int     `default:"0" help:"Most open connections of other nodes; 0 derives it from the VM's memory and descriptors."`
	MonitorConnections int     `default:"16" help:"Most open connections for the readiness probe, and as many for the metrics."`
	HeadMemoryPercent  float64 `default:"12" help:"Share of the VM's memory, in percent, for the heads of callers' requests that arrive or run; 0 means no limit."`
	ReceiveBuffer      int     `name:"receive-buffer-kib" default:"32" help:"Receive buffer of each connection of a caller, in KiB; up to twice as much waits there to be read."`
	Unsent             int     `name:"unsent-kib" default:"32" help:"Most bytes that wait to be sent on each accepted connection, in KiB."`
}

// Validate implements the check of kong.
func (l ListenerFlags) Validate() error {
	if l.CallerConnections < 0 || l.PeerConnections < 0 || l.MonitorConnections < 1 {
		return &UsageError{Err: errors.New("--caller-connections and --peer-connections must not be negative, and --monitor-connections must be at least 1")}
	}
	if !(l.HeadMemoryPercent >= 0 && l.HeadMemoryPercent <= 100) {
		return &UsageError{Err: errors.New("--head-memory-percent must be between 0 and 100")}
	}
	for _, size := range []int{l.ReceiveBuffer, l.Unsent} {
		if size < minimumBufferKiB || size > maximumBufferKiB {
			return &UsageError{Err: errors.Errorf("--receive-buffer-kib and --unsent-kib must be between %d and %d", minimumBufferKiB, maximumBufferKiB)}
		}
	}
	return nil
}

// listenerLimits are the limits of the listeners of a node.
type listenerLimits struct {
	callers, peers platform.ServerLimits
	// monitors are the limits for the readiness probe, and for the metrics.
	monitors platform.ServerLimits
	// callerBuffers are those of the connections of callers, nodeBuffers those of all others.
	callerBuffers, nodeBuffers platform.SocketBuffers
}

// listenerLimits returns the limits that the flags and the VM give. openFiles is the limit of the
// operating system, 0 if it is unknown.
func (l ListenerFlags) listenerLimits(s platform.Settings, openFiles int) listenerLimits {
	unsent := domain.Bytes(l.Unsent) * domain.Kibibyte
	limits := listenerLimits{
		callerBuffers: platform.SocketBuffers{Receive: domain.Bytes(l.ReceiveBuffer) * domain.Kibibyte, Unsent: unsent},
		nodeBuffers:   platform.SocketBuffers{Receive: nodeReceiveBuffer, Unsent: unsent},
	}
	files := s.Files
	if files == 0 || openFiles > 0 && openFiles < files {
		files = openFiles
	}
	limits.callers = platform.ServerLimits{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout, HeaderBytes: maximumHeaderBytes,
		Connections:   l.CallerConnections,
		HeadMemory:    domain.Bytes(float64(s.Memory) * l.HeadMemoryPercent * fractionPerPercent),
		ReceiveBuffer: limits.callerBuffers.Receive,
	}
	if l.CallerConnections == 0 {
		limits.callers.Connections = connectionLimit(callerMemoryShare, s.Memory, connectionCost(callerConnectionCost, limits.callerBuffers), callerFilesShare, files)
	}
	limits.peers = nodeLimits(s, l.PeerConnections)
	if l.PeerConnections == 0 {
		limits.peers.Connections = connectionLimit(peerMemoryShare, s.Memory, connectionCost(peerConnectionCost, limits.nodeBuffers), peerFilesShare, files)
	}
	limits.monitors = nodeLimits(s, l.MonitorConnections)
	return limits
}

// nodeLimits returns the limits of a server that is not for callers. A connection whose request runs
// may go for a new one there: what watches this node has one or a few, and nodes ask again.
func nodeLimits(s platform.Settings, connections int) platform.ServerLimits {
	return platform.ServerLimits{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout, RequestTimeout: nodeRequestTimeout, HeaderBytes: nodeHeaderBytes,
		Connections: connections, HeadMemory: domain.Bytes(float64(s.Memory) * nodeHeadMemoryShare),
		ReceiveBuffer: nodeReceiveBuffer, Disposable: true,
	}
}

// backlog returns how many connections may wait to be accepted.
func backlog(l platform.ServerLimits) int {
	return max(minimumBacklog, l.Connections/connectionsPerWaiting)
}

// connectionCost returns what a connection takes at most: in the process, in the kernel, and for its
// part of a place among those that wait to be accepted.
func connectionCost(process domain.Bytes, b platform.SocketBuffers) domain.Bytes {
	return process + b.MaximumUnread() + b.MaximumUnread()/connectionsPerWaiting
}

// connectionLimit returns how many connections of the given cost fit into a share of the memory and
// a share of the descriptors that are not reserved; files is 0 if their number is unknown.
func connectionLimit(memoryShare float64, memory, cost domain.Bytes, filesShare float64, files int) int {
	connections := int(memoryShare * float64(memory) / float64(cost))
	if files > 0 {
		connections = min(connections, int(filesShare*float64(files-reservedFiles)))
	}
	return max(connections, minimumConnections)
}

// openFilesLimit returns the number of descriptors that this process may open, or 0 if it is
// unknown.
func openFilesLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	const maximum = 1 << 30
	return int(min(limit.Cur, maximum))
}
