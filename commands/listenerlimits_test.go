package commands

import (
	"testing"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/platform"
)

// defaultFlags returns the flags without any given, as kong sets them.
func defaultFlags() ListenerFlags {
	return ListenerFlags{MonitorConnections: 16, HeadMemoryPercent: 12, ReceiveBuffer: 32, Unsent: 32}
}

// Guards against limits that ordinary callers meet, a few hundred at each node, or the nodes of a
// large deployment, and against limits beyond the descriptors of the node.
func TestDefaultLimitOfConnections(t *testing.T) {
	for _, tt := range []struct {
		memory           domain.Bytes
		files, openFiles int
		callers, peers   int
	}{
		{144 * domain.Mebibyte, 3000, 10_250, 251, 258},
		{144 * domain.Mebibyte, 10_250, 1024, 251, 123},
		{144 * domain.Mebibyte, 10_250, 624, 169, 63},
		{184 * domain.Mebibyte, 4100, 10_250, 321, 329},
		{536 * domain.Mebibyte, 8192, 10_250, 935, 960},
		{536 * domain.Mebibyte, 3000, 10_250, 935, 420},
		{536 * domain.Mebibyte, 2000, 10_250, 720, 270},
		{536 * domain.Mebibyte, 10_250, 20_000, 935, 960},
		{536 * domain.Mebibyte, 0, 1024, 329, 123},
		{536 * domain.Mebibyte, 0, 0, 935, 960},
		{536 * domain.Mebibyte, 210, 0, minimumConnections, minimumConnections},
	} {
		l := defaultFlags().listenerLimits(platform.Settings{Memory: tt.memory, Files: tt.files}, tt.openFiles)
		if l.callers.Connections != tt.callers || l.peers.Connections != tt.peers {
			t.Errorf("%d bytes, %d and %d descriptors: got %d connections of callers and %d of nodes, want %d and %d",
				tt.memory, tt.files, tt.openFiles, l.callers.Connections, l.peers.Connections, tt.callers, tt.peers)
		}
	}
}

// kernelBytes returns the most that the kernel receives on the connections of a listener, those that
// wait to be accepted included.
func kernelBytes(l platform.ServerLimits, b platform.SocketBuffers) domain.Bytes {
	return domain.Bytes(l.Connections+backlog(l)) * b.MaximumUnread()
}

// Guards against limits that hold each for itself but not together.
func TestDefaultLimitsFitTogether(t *testing.T) {
	const (
		// idleProcess is the memory of a node without clients.
		idleProcess = 26 * domain.Mebibyte
		// monitorCost is that of a connection to the readiness probe or the metrics: a response
		// and its buffers.
		monitorCost = 64 * domain.Kibibyte
		// messageKinds are requests, responses and events; each has a pool.
		messageKinds = 3
	)
	for _, memory := range []domain.Bytes{144 * domain.Mebibyte, 284 * domain.Mebibyte, 536 * domain.Mebibyte} {
		s := platform.Settings{Memory: memory, Files: 3075}
		l := defaultFlags().listenerLimits(s, 0)
		taken := idleProcess +
			domain.Bytes(l.callers.Connections)*callerConnectionCost + kernelBytes(l.callers, l.callerBuffers) + l.callers.HeadMemory +
			domain.Bytes(l.peers.Connections)*peerConnectionCost + kernelBytes(l.peers, l.nodeBuffers) + l.peers.HeadMemory +
			2*(domain.Bytes(l.monitors.Connections)*monitorCost+kernelBytes(l.monitors, l.nodeBuffers)+l.monitors.HeadMemory) +
			domain.Bytes((messageKinds*messageMemoryShare+reportMemoryShare)*float64(memory))
		if taken > memory {
			t.Errorf("got %d bytes for all that the limits allow, want at most %d", taken, memory)
		}
		files := reservedFiles + 2*l.callers.Connections + l.peers.Connections + 2*l.monitors.Connections
		if files > s.Files {
			t.Errorf("%d bytes: got %d descriptors for all that the limits allow, want at most %d", memory, files, s.Files)
		}
	}
}

func TestFlagsSetTheLimitsOfListeners(t *testing.T) {
	s := platform.Settings{Memory: 100 * domain.Mebibyte}
	flags := ListenerFlags{CallerConnections: 7, PeerConnections: 8, MonitorConnections: 9, HeadMemoryPercent: 50, ReceiveBuffer: 64, Unsent: 16}
	l := flags.listenerLimits(s, 1024)
	if l.callers.Connections != 7 || l.peers.Connections != 8 || l.monitors.Connections != 9 {
		t.Errorf("got %d connections of callers, %d of nodes and %d of monitors, want 7, 8 and 9", l.callers.Connections, l.peers.Connections, l.monitors.Connections)
	}
	if l.callers.HeadMemory != 50*domain.Mebibyte {
		t.Errorf("got %d bytes of heads, want %d", l.callers.HeadMemory, 50*domain.Mebibyte)
	}
	if want := (platform.SocketBuffers{Receive: 64 * domain.Kibibyte, Unsent: 16 * domain.Kibibyte}); l.callerBuffers != want {
		t.Errorf("got the buffers %+v, want %+v", l.callerBuffers, want)
	}
}

func TestFlagsOfListenersAreChecked(t *testing.T) {
	if err := defaultFlags().Validate(); err != nil {
		t.Errorf("got %v for the default flags, want no error", err)
	}
	for _, wrong := range []func(*ListenerFlags){
		func(l *ListenerFlags) { l.CallerConnections = -1 },
		func(l *ListenerFlags) { l.PeerConnections = -1 },
		func(l *ListenerFlags) { l.MonitorConnections = 0 },
		func(l *ListenerFlags) { l.HeadMemoryPercent = -1 },
		func(l *ListenerFlags) { l.HeadMemoryPercent = 101 },
		func(l *ListenerFlags) { l.ReceiveBuffer = 3 },
		func(l *ListenerFlags) { l.Unsent = 3 },
		func(l *ListenerFlags) { l.Unsent = 4097 },
	} {
		flags := defaultFlags()
		wrong(&flags)
		if flags.Validate() == nil {
			t.Errorf("got no error for %+v", flags)
		}
	}
}
