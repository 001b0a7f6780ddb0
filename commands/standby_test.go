package commands

import (
	"testing"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/platform"
)

func TestSmallVMsAreStandbys(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings platform.Settings
		standby  bool
	}{
		{"large", platform.Settings{Processors: 0.8, LinkBytesPerSecond: 25_000_000}, false},
		{"equal VMs of a small deployment", platform.Settings{Processors: 0.4, LinkBytesPerSecond: 125_000_000}, false},
		{"slow link", platform.Settings{Processors: 0.8, LinkBytesPerSecond: 2_500_000}, true},
		{"little processor", platform.Settings{Processors: 0.192, LinkBytesPerSecond: 25_000_000}, true},
	} {
		if got := isStandby(c.settings); got != c.standby {
			t.Errorf("%s: got %v, want %v", c.name, got, c.standby)
		}
	}
}

func TestNamesTellStandbysAndAddresses(t *testing.T) {
	for name, standby := range map[domain.NodeID]bool{"10.0.0.1:7380/1a2b": false, "10.0.0.1:7380/1a2b/standby": true} {
		if got := isStandbyName(name); got != standby {
			t.Errorf("%s: got standby %v, want %v", name, got, standby)
		}
		if got, want := hubAddress(name), "10.0.0.1:7380"; got != want {
			t.Errorf("%s: got address %s, want %s", name, got, want)
		}
	}
}
