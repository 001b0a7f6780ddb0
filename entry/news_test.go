package entry

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
)

// tellFor has the owner tell a node of the store for a time, as often as it reads.
func tellFor(n *Node, w hub.News, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		n.updated(hub.Update{News: w})
		time.Sleep(n.RegistrationsInterval)
	}
}

// runInformed calls f with a node that another node tells of the store.
func runInformed(t *testing.T, f func(n *Node, p *fakePlatform)) {
	t.Helper()
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.set(func() { p.shards = nil })
		time.Sleep(3 * time.Second)
		tellFor(n, hub.News{Configuration: 1, Registrations: 2, Read: true}, 4*time.Second)
		f(n, p)
	})
}

// counts returns how often a node has read registrations and configurations.
func counts(p *fakePlatform) (servers, configurations int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serverReads, p.configurationReads
}

func TestInformedNodeReadsOnlyWhatHasChanged(t *testing.T) {
	runInformed(t, func(n *Node, p *fakePlatform) {
		servers, configurations := counts(p)
		tellFor(n, hub.News{Configuration: 1, Registrations: 2, Read: true}, 30*time.Second)
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
	runInformed(t, func(n *Node, p *fakePlatform) {
		p.set(func() { p.draining, p.drained = true, 50 })
		n.updated(hub.Update{News: hub.News{Configuration: 1, Registrations: 51, Read: true}})
		time.Sleep(50 * time.Millisecond)
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers after one began to drain: got %d, want %d", got, want)
		}
	})
}

// The owner is cut off or frozen without a word: its link stays, but it says
// nothing more.
func TestNodeReadsItselfWhenTheOwnerFallsSilent(t *testing.T) {
	runInformed(t, func(n *Node, p *fakePlatform) {
		p.set(func() { p.draining, p.drained, p.version = true, 50, 2 })
		time.Sleep(1400 * time.Millisecond)
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers 1.4 s after one began to drain: got %d, want %d", got, want)
		}
		time.Sleep(1500 * time.Millisecond)
		if got, want := int(n.Views.Get().Config.Version), 2; got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	})
}

// The owner has lost the store but not its links, and goes on telling what the
// servers hold.
func TestNodeReadsItselfWhenTheOwnerHasLostTheStore(t *testing.T) {
	runInformed(t, func(n *Node, p *fakePlatform) {
		p.set(func() { p.draining, p.drained = true, 50 })
		for i := range 28 {
			held := hub.Server{ID: "i", Holdings: fleet.EngineState{StartedAtMs: 1, Sequence: uint64(i)}}
			n.updated(hub.Update{Servers: []hub.Server{held}, News: hub.News{Configuration: 1, Registrations: 2}})
			time.Sleep(50 * time.Millisecond)
		}
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers 1.4 s after one began to drain: got %d, want %d", got, want)
		}
	})
}

// The answer to a call that waits for a configuration is lost; the owner's word
// brings it.
func TestLostConfigurationIsFoundByTheOwnersWord(t *testing.T) {
	runInformed(t, func(n *Node, p *fakePlatform) {
		p.set(func() { p.lostWaits = true })
		tellFor(n, hub.News{Configuration: 1, Registrations: 2, Read: true}, 22*time.Second)
		p.set(func() { p.version, p.lostWaits = 2, false })
		tellFor(n, hub.News{Configuration: 2, Registrations: 2, Read: true}, 2*time.Second)
		if got, want := int(n.Views.Get().Config.Version), 2; got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	})
}

// The same while the owner has much to tell and configurations come in a storm.
func TestLostConfigurationIsFoundWhileTheOwnerTellsOften(t *testing.T) {
	runInformed(t, func(n *Node, p *fakePlatform) {
		p.set(func() { p.lostWaits = true })
		tellFor(n, hub.News{Configuration: 1, Registrations: 2, Read: true}, 22*time.Second)
		for v := range 20 {
			p.set(func() { p.version, p.lostWaits = fleet.Version(2+v), v == 0 })
			n.updated(hub.Update{News: hub.News{Configuration: domain.Offset(2 + v), Registrations: 2, Read: true}})
			time.Sleep(100 * time.Millisecond)
		}
		if got, want := int(n.Views.Get().Config.Version), 20; got < want {
			t.Errorf("version: got %d, want %d at least", got, want)
		}
	})
}

func TestServerThatWentIsDroppedWithoutAnotherRead(t *testing.T) {
	runInformed(t, func(n *Node, p *fakePlatform) {
		p.set(func() { p.gone, p.drained = true, 50 })
		tellFor(n, hub.News{Configuration: 1, Registrations: 51, Read: true}, 5*time.Second)
		if got, want := len(n.Views.Get().Servers["s"]), 0; got != want {
			t.Errorf("usable servers 5 s after one went: got %d, want %d", got, want)
		}
	})
}
