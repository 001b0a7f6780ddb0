package commands

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/platform"
)

// Guards against a time without orders that is longer than needed where servers check no fencing
// tokens: an owner that is lost gives none for the time-to-live and the wait of the next one.
func TestMemberTimeToLive(t *testing.T) {
	for _, c := range []struct {
		settings platform.Settings
		want     time.Duration
	}{
		{platform.Settings{LeaseBound: 3 * time.Second, MinimumMemberTTL: time.Second, ServersCheckFences: true}, 2490 * time.Millisecond},
		{platform.Settings{LeaseBound: 3 * time.Second, MinimumMemberTTL: time.Second}, 1500 * time.Millisecond},
		{platform.Settings{LeaseBound: 3 * time.Second, MinimumMemberTTL: 2 * time.Second}, 2 * time.Second},
	} {
		if got := memberTTL(c.settings); got != c.want {
			t.Errorf("%+v: got %v, want %v", c.settings, got, c.want)
		}
	}
}
