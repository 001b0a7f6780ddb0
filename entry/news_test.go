package entry

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/hub"
)

// tellFor has the owner tell a node of the store for a time, as often as it reads.
func tellFor(n *Node, w hub.News, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		n.updated(hub.Update{News: w})
		time.Sleep(n.ServersEvery)
	}
}

// counts returns how often a node has read registrations and configurations.
func counts(p *fakePlatform) (servers, configurations int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serverReads, p.configurationReads
}

func TestInformedNodeReadsOnlyWhatHasChanged(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.set(func() { p.shards = nil })
		time.Sleep(3 * time.Second)
		tellFor(n, hub.News{Configuration: 1, Registrations: 2}, 4*time.Second)
		servers, configurations := counts(p)
		tellFor(n, hub.News{Configuration: 1, Registrations: 2}, 30*time.Second)
		s, c := counts(p)
		if got, want := s-servers, 4; got > want {
			t.Errorf("reads of registrations in 30 s: got %d, want %d at most", got, want)
		}
		if got, want := c-configurations, 3; got > want {
			t.Errorf("reads of configurations in 30 s: got %d, want %d at most", got, want)
		}
	})
}

func TestInformedNodeReadsAtOnceWhatHasChanged(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.set(func() { p.shards = nil })
		time.Sleep(3 * time.Second)
		tellFor(n, hub.News{Configuration: 1, Registrations: 2}, 4*time.Second)
		p.set(func() { p.draining, p.drained = true, 50 })
		n.updated(hub.Update{News: hub.News{Configuration: 1, Registrations: 51}})
		time.Sleep(50 * time.Millisecond)
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers after one began to drain: got %d, want %d", got, want)
		}
	})
}

// The owner is cut off or frozen without a word: its link stays, but it says
// nothing more.
func TestNodeReadsItselfWhenTheOwnerFallsSilent(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.set(func() { p.shards = nil })
		time.Sleep(3 * time.Second)
		tellFor(n, hub.News{Configuration: 1, Registrations: 2}, 4*time.Second)
		p.set(func() { p.draining, p.drained, p.version = true, 50, 2 })
		time.Sleep(2200 * time.Millisecond)
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers 2.2 s after one began to drain: got %d, want %d", got, want)
		}
		time.Sleep(time.Second)
		if got, want := int(n.Views.Get().Config.Version), 2; got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	})
}

// The answer to a call that waits for a configuration is lost; the owner's word
// brings it.
func TestLostConfigurationIsFoundByTheOwnersWord(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.set(func() { p.shards = nil })
		time.Sleep(3 * time.Second)
		tellFor(n, hub.News{Configuration: 1, Registrations: 2}, 4*time.Second)
		p.set(func() { p.lostWaits = true })
		tellFor(n, hub.News{Configuration: 1, Registrations: 2}, 22*time.Second)
		p.set(func() { p.version, p.lostWaits = 2, false })
		tellFor(n, hub.News{Configuration: 2, Registrations: 2}, 2*time.Second)
		if got, want := int(n.Views.Get().Config.Version), 2; got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	})
}

func TestServerThatWentIsDroppedWithoutAnotherRead(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.set(func() { p.shards = nil })
		time.Sleep(3 * time.Second)
		tellFor(n, hub.News{Configuration: 1, Registrations: 2}, 2*time.Second)
		p.set(func() { p.gone, p.drained = true, 50 })
		tellFor(n, hub.News{Configuration: 1, Registrations: 51}, 5*time.Second)
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers 5 s after one went: got %d, want %d", got, want)
		}
	})
}
