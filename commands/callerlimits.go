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
	// take, and connectionCost what one takes at most beside the bounded memory of heads and
	// messages. Measured with 600 connections: 5 KB if idle, 15 KB with a request that waits for
	// its body, 73 KB with 59 KB of a body, of which the first 64 KiB are not bounded otherwise.
	connectionMemoryShare = 0.35
	connectionCost        = 80 * domain.Kibibyte
	// reservedFiles is the number of descriptors that are not for connections of callers and
	// servers: the store, other nodes, listeners and files.
	reservedFiles = 200
	// callerFilesShare is the fraction of the other descriptors that callers may take. A request
	// takes one more for its server.
	callerFilesShare = 0.5
	// minimumCallerConnections is the least limit of callers' connections.
	minimumCallerConnections = 32
	fractionPerPercent       = 0.01
)

// CallerLimits are the flags that bound what callers take of a node.
type CallerLimits struct {
	CallerConnections int     `default:"0" help:"Most open connections of callers; 0 derives it from the VM's memory and descriptors."`
	HeadMemoryPercent float64 `default:"12" help:"Share of the VM's memory, in percent, for the heads of requests that arrive or run; 0 means no limit."`
}

// Validate implements the check of kong.
func (l CallerLimits) Validate() error {
	if l.CallerConnections < 0 || !(l.HeadMemoryPercent >= 0 && l.HeadMemoryPercent <= 100) {
		return &UsageError{Err: errors.New("--caller-connections must not be negative, and --head-memory-percent must be between 0 and 100")}
	}
	return nil
}

// serverLimits returns the limits of the server for callers. openFiles is the limit of the
// operating system, 0 if it is unknown.
func (l CallerLimits) serverLimits(s platform.Settings, openFiles int) platform.ServerLimits {
	connections := l.CallerConnections
	if connections == 0 {
		connections = defaultConnections(s, openFiles)
	}
	return platform.ServerLimits{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout, HeaderBytes: maximumHeaderBytes,
		Connections: connections, HeadMemory: domain.Bytes(float64(s.Memory) * l.HeadMemoryPercent * fractionPerPercent),
	}
}

// defaultConnections returns how many connections of callers the memory and the descriptors of the
// VM allow.
func defaultConnections(s platform.Settings, openFiles int) int {
	connections := int(connectionMemoryShare * float64(s.Memory) / float64(connectionCost))
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
