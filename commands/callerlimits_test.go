package commands

import (
	"testing"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/platform"
)

// defaultBuffers are those of the default flags.
var defaultBuffers = platform.SocketBuffers{Receive: 32 * domain.Kibibyte, Unsent: 32 * domain.Kibibyte}

// Guards against limits that ordinary callers meet, a few hundred at each node, and against
// limits beyond the descriptors of the node.
func TestDefaultLimitOfConnections(t *testing.T) {
	for _, tt := range []struct {
		memory           domain.Bytes
		files, openFiles int
		want             int
	}{
		{144 * domain.Mebibyte, 3000, 10_250, 358},
		{144 * domain.Mebibyte, 10_250, 1024, 358},
		{144 * domain.Mebibyte, 10_250, 824, 312},
		{536 * domain.Mebibyte, 3000, 10_250, 1334},
		{536 * domain.Mebibyte, 2000, 10_250, 900},
		{536 * domain.Mebibyte, 10_250, 20_000, 1334},
		{536 * domain.Mebibyte, 0, 1024, 412},
		{536 * domain.Mebibyte, 0, 0, 1334},
		{536 * domain.Mebibyte, 210, 0, minimumCallerConnections},
	} {
		if got := defaultConnections(platform.Settings{Memory: tt.memory, Files: tt.files}, tt.openFiles, defaultBuffers); got != tt.want {
			t.Errorf("%d bytes, %d and %d descriptors: got %d connections, want %d", tt.memory, tt.files, tt.openFiles, got, tt.want)
		}
	}
}

func TestFlagsSetTheLimitsOfCallers(t *testing.T) {
	s := platform.Settings{Memory: 100 * domain.Mebibyte}
	l := CallerLimits{CallerConnections: 7, HeadMemoryPercent: 50, ReceiveBuffer: 32, Unsent: 32}.serverLimits(s, 1024)
	if l.Connections != 7 || l.HeadMemory != 50*domain.Mebibyte {
		t.Errorf("got %d connections and %d bytes of heads, want 7 and %d", l.Connections, l.HeadMemory, 50*domain.Mebibyte)
	}
	for _, wrong := range []CallerLimits{
		{CallerConnections: -1, MonitorConnections: 16, ReceiveBuffer: 32, Unsent: 32},
		{HeadMemoryPercent: -1, MonitorConnections: 16, ReceiveBuffer: 32, Unsent: 32},
		{HeadMemoryPercent: 101, MonitorConnections: 16, ReceiveBuffer: 32, Unsent: 32},
		{MonitorConnections: 16, ReceiveBuffer: 3, Unsent: 32},
		{MonitorConnections: 16, ReceiveBuffer: 32, Unsent: 3},
		{MonitorConnections: 16, ReceiveBuffer: 32, Unsent: 4097},
		{MonitorConnections: 0, ReceiveBuffer: 32, Unsent: 32},
	} {
		if wrong.Validate() == nil {
			t.Errorf("got no error for %+v", wrong)
		}
	}
	if err := (CallerLimits{MonitorConnections: 16, ReceiveBuffer: 32, Unsent: 32}).Validate(); err != nil {
		t.Errorf("got %v for limits that can be used", err)
	}
}
