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
	// connectionMemoryShare is the fraction of the VM's memory that the connections of callers may
	// take, and connectionCost what one takes at most in this process, beside the bounded memory of
	// heads and messages: 5 KB if idle, 15 KB with a request that waits for its body, 73 KB with
	// 59 KB of a body, of which the first 64 KiB are not bounded otherwise.
	connectionMemoryShare = 0.35
	connectionCost        = 80 * domain.Kibibyte
	// The bounds of the sizes of buffers, in KiB. Smaller ones would hold back ordinary heads.
	minimumBufferKiB, maximumBufferKiB = 4, 4096
	// reservedFiles is the number of descriptors that are not for connections of callers and
	// servers: the store, other nodes, listeners and files.
	reservedFiles = 200
	// callerFilesShare is the fraction of the other descriptors that callers may take. A request
	// takes one more for its server.
	callerFilesShare = 0.5
	// minimumCallerConnections is the least limit of callers' connections.
	minimumCallerConnections = 32
	fractionPerPercent       = 0.01
	// monitorTimeout bounds a request of the readiness probe or for metrics, and its response.
	monitorTimeout = 10 * time.Second
	// monitorHeaderBytes bounds the head of such a request, and monitorHeadMemoryShare all of them,
	// as a fraction of the VM's memory.
	monitorHeaderBytes     = 8 << 10
	monitorHeadMemoryShare = 0.01
)

// CallerLimits are the flags that bound what callers take of a node.
type CallerLimits struct {
	CallerConnections  int     `default:"0" help:"Most open connections of callers; 0 derives it from the VM's memory and descriptors."`
	HeadMemoryPercent  float64 `default:"12" help:"Share of the VM's memory, in percent, for the heads of requests that arrive or run; 0 means no limit."`
	MonitorConnections int     `default:"16" help:"Most open connections for the readiness probe, and as many for the metrics."`
	ReceiveBuffer      int     `name:"receive-buffer-kib" default:"32" help:"Receive buffer of each accepted connection, in KiB; up to twice as much waits there to be read."`
	Unsent             int     `name:"unsent-kib" default:"32" help:"Most bytes of responses that wait to be sent on each accepted connection, in KiB."`
}

// monitorLimits returns the limits of the servers for the readiness probe and the metrics. What
// watches this node has one connection or a few, so that the oldest one can go for a new one.
func (l CallerLimits) monitorLimits(s platform.Settings) platform.ServerLimits {
	return platform.ServerLimits{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout, RequestTimeout: monitorTimeout, HeaderBytes: monitorHeaderBytes,
		Connections: l.MonitorConnections, HeadMemory: domain.Bytes(float64(s.Memory) * monitorHeadMemoryShare),
		ReceiveBuffer: l.socketBuffers().Receive, Disposable: true,
	}
}

// Validate implements the check of kong.
func (l CallerLimits) Validate() error {
	if l.CallerConnections < 0 || !(l.HeadMemoryPercent >= 0 && l.HeadMemoryPercent <= 100) {
		return &UsageError{Err: errors.New("--caller-connections must not be negative, and --head-memory-percent must be between 0 and 100")}
	}
	if l.MonitorConnections < 1 {
		return &UsageError{Err: errors.New("--monitor-connections must be at least 1")}
	}
	for _, size := range []int{l.ReceiveBuffer, l.Unsent} {
		if size < minimumBufferKiB || size > maximumBufferKiB {
			return &UsageError{Err: errors.Errorf("--receive-buffer-kib and --unsent-kib must be between %d and %d", minimumBufferKiB, maximumBufferKiB)}
		}
	}
	return nil
}

// socketBuffers returns the bounds of what the kernel holds for each accepted connection.
func (l CallerLimits) socketBuffers() platform.SocketBuffers {
	return platform.SocketBuffers{Receive: domain.Bytes(l.ReceiveBuffer) * domain.Kibibyte, Unsent: domain.Bytes(l.Unsent) * domain.Kibibyte}
}

// serverLimits returns the limits of the server for callers. openFiles is the limit of the
// operating system, 0 if it is unknown.
func (l CallerLimits) serverLimits(s platform.Settings, openFiles int) platform.ServerLimits {
	connections := l.CallerConnections
	if connections == 0 {
		connections = defaultConnections(s, openFiles, l.socketBuffers())
	}
	return platform.ServerLimits{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout, HeaderBytes: maximumHeaderBytes,
		Connections: connections, HeadMemory: domain.Bytes(float64(s.Memory) * l.HeadMemoryPercent * fractionPerPercent),
		ReceiveBuffer: l.socketBuffers().Receive,
	}
}

// defaultConnections returns how many connections of callers the memory and the descriptors of the
// VM allow. Bytes that the kernel has received count like those of the process.
func defaultConnections(s platform.Settings, openFiles int, b platform.SocketBuffers) int {
	connections := int(connectionMemoryShare * float64(s.Memory) / float64(connectionCost+b.MaximumUnread()))
	files := openFiles
	if s.Files > 0 && (files == 0 || s.Files < files) {
		files = s.Files
	}
	if files > 0 {
		connections = min(connections, int(callerFilesShare*float64(files-reservedFiles)))
	}
	return max(connections, minimumCallerConnections)
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
