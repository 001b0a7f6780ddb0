package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/lease"
)

// runWithKeys runs f with a node that is not the owner. Version 1 has the keys "kept" and "removed",
// later ones only the first.
func runWithKeys(t *testing.T, f func(n *Node, p *fakePlatform, c *clock)) {
	t.Helper()
	run(t, true, func(n *Node, p *fakePlatform, c *clock) {
		p.update(func() {
			p.shards = nil
			p.keys = func(v fleet.Version) []string {
				if v == 1 {
					return []string{"kept", "removed"}
				}
				return []string{"kept"}
			}
		})
		time.Sleep(3 * time.Second)
		f(n, p, c)
	})
}

func checkCurrent(t *testing.T, n *Node, v fleet.Version, want bool, when string) {
	t.Helper()
	if got := n.IsConfigurationCurrent(v); got != want {
		t.Errorf("%s: current: got %v, want %v", when, got, want)
	}
}

func checkRevoked(t *testing.T, n *Node, key string, want bool, when string) {
	t.Helper()
	if got := n.IsKeyRevoked(fleet.HashKey(key), n.Views.Get().Config.Version); got != want {
		t.Errorf("%s: key %q revoked: got %v, want %v", when, key, got, want)
	}
}

// step is the change from version 1 to 2 of runWithKeys, as the owner tells it.
var step = hub.RevocationStep{From: 1, To: 2, Keys: []fleet.KeyHash{fleet.HashKey("removed")}}

// confirmRepeatedly applies confirmations of the owner to a node for the time d.
func confirmRepeatedly(n *Node, u hub.KeyUpdate, d time.Duration) {
	u.Confirmed = true
	for end := time.Now().Add(d); time.Now().Before(end); {
		n.applyUpdate(hub.Update{Keys: u})
		time.Sleep(n.RegistrationsInterval)
	}
}

// Failure: the node is partitioned from the store and from the owner. Guards against a denial of keys
// that a configuration added meanwhile, and against a node that forgets the keys it knows.
func TestConfigurationIsNotCurrentWithoutNews(t *testing.T) {
	runWithKeys(t, func(n *Node, p *fakePlatform, c *clock) {
		for range 40 {
			checkCurrent(t, n, 1, true, "with the store")
			time.Sleep(100 * time.Millisecond)
		}
		checkCurrent(t, n, 0, false, "for a view of an older version")
		p.update(func() { p.hanging = true })
		// The store still answers the poll that it has.
		time.Sleep(pollWait + n.ConfigurationBound)
		checkCurrent(t, n, 1, false, "after the bound without the store")
		checkRevoked(t, n, "removed", false, "without news")
		p.update(func() { p.hanging = false })
		time.Sleep(5 * time.Second)
		checkCurrent(t, n, 1, true, "after the store's return")
		c.suspend(5 * time.Second)
		checkCurrent(t, n, 1, false, "just after a suspension")
	})
}

// Failure: the store rejects the node while the owner is linked. The owner's confirmations stand in
// for the store, unless they were on their way for long.
func TestOwnerConfirmsTheConfiguration(t *testing.T) {
	runWithKeys(t, func(n *Node, p *fakePlatform, c *clock) {
		p.update(func() { p.failing = true })
		time.Sleep(pollWait + n.ConfigurationBound)
		n.applyUpdate(hub.Update{Keys: hub.KeyUpdate{Version: 1, Confirmed: true}})
		checkCurrent(t, n, 1, false, "at the first update after a gap")
		confirmRepeatedly(n, hub.KeyUpdate{Version: 1}, 4*time.Second)
		checkCurrent(t, n, 1, true, "with the owner's confirmations")
		c.suspend(10 * time.Second)
		n.applyUpdate(hub.Update{Keys: hub.KeyUpdate{Version: 1, Confirmed: true}})
		checkCurrent(t, n, 1, false, "at an update that was read after a suspension")
		confirmRepeatedly(n, hub.KeyUpdate{Version: 1, ConfirmedAge: 5 * time.Second}, 4*time.Second)
		checkCurrent(t, n, 1, false, "with old confirmations")
		confirmRepeatedly(n, hub.KeyUpdate{Version: 2}, 4*time.Second)
		checkCurrent(t, n, 1, false, "with confirmations of a newer version")
	})
}

// Failure: the store rejects the node. Guards against a revoked key that goes on to work there, and
// against one that stays refused after a newer version has it again.
func TestRejectedNodeLearnsOfRevokedKeys(t *testing.T) {
	runWithKeys(t, func(n *Node, p *fakePlatform, _ *clock) {
		p.update(func() { p.failing = true })
		checkRevoked(t, n, "removed", false, "before")
		n.applyUpdate(hub.Update{Keys: hub.KeyUpdate{Version: 2, Steps: []hub.RevocationStep{step}}})
		checkRevoked(t, n, "removed", true, "after the owner's message")
		checkRevoked(t, n, "kept", false, "after the owner's message")
		checkCurrent(t, n, 1, false, "after the owner's message")
		time.Sleep(20 * time.Second)
		checkRevoked(t, n, "kept", false, "as all removed keys are known")
		p.update(func() {
			p.failing, p.version = false, 3
			p.keys = func(fleet.Version) []string { return []string{"removed"} }
		})
		time.Sleep(4 * time.Second)
		checkRevoked(t, n, "removed", false, "after a version that has the key again")
		checkCurrent(t, n, 3, true, "after the newest version")
	})
}

// Failure: the owner does not know which keys were removed since the node's version. Guards against
// revoked keys that work for longer than the bound.
func TestUnknownRemovedKeysEndAllKeysInTime(t *testing.T) {
	for name, u := range map[string]hub.KeyUpdate{
		"no steps":        {Version: 4},
		"step missing":    {Version: 4, Steps: []hub.RevocationStep{{From: 2, To: 4}}},
		"incomplete step": {Version: 4, Steps: []hub.RevocationStep{{From: 1, To: 4, Incomplete: true}}},
	} {
		runWithKeys(t, func(n *Node, p *fakePlatform, _ *clock) {
			p.update(func() { p.failing = true })
			n.applyUpdate(hub.Update{Keys: u})
			checkRevoked(t, n, "kept", false, name+", at once")
			time.Sleep(5 * time.Second)
			checkRevoked(t, n, "kept", true, name+", at the bound")
			p.update(func() { p.failing, p.version = false, 4 })
			time.Sleep(3 * time.Second)
			checkRevoked(t, n, "kept", false, name+", after the newest version")
		})
	}
}

// Failure: the owner is lost. The next one tells nodes that link to it of the keys that its last
// versions removed, whether it read these versions or was told of them.
func TestNextOwnerTellsOfRemovedKeys(t *testing.T) {
	runWithKeys(t, func(n *Node, p *fakePlatform, _ *clock) {
		p.update(func() { p.version = 2 })
		time.Sleep(time.Second)
		n.applyUpdate(hub.Update{Keys: hub.KeyUpdate{Version: 3, Steps: []hub.RevocationStep{{From: 2, To: 3, Keys: []fleet.KeyHash{fleet.HashKey("kept")}}}}})
		p.update(func() { p.shards = []lease.Shard{0} })
		time.Sleep(3 * time.Second)
		var got hub.KeyUpdate
		n.initialUpdate(func(u hub.Update) { got = u.Keys })
		if got.Version != 3 || len(got.Steps) != 2 || got.Steps[0].Keys[0] != fleet.HashKey("removed") || got.Steps[1].Keys[0] != fleet.HashKey("kept") {
			t.Errorf("got %+v, want the steps to versions 2 and 3", got)
		}
		if got.Confirmed {
			t.Error("an owner that knows of a newer version confirms its own")
		}
	})
}

// Guards against an owner whose confirmations are too old at the other nodes, or that it gives without
// the store.
func TestOwnerConfirmsOnlyWhatItRead(t *testing.T) {
	runWithKeys(t, func(n *Node, p *fakePlatform, _ *clock) {
		p.update(func() { p.shards = []lease.Shard{0} })
		time.Sleep(5 * time.Second)
		for range 30 {
			n.mu.Lock()
			u := n.keyUpdate(0)
			n.mu.Unlock()
			if limit := 1300 * time.Millisecond; !u.Confirmed || u.ConfirmedAge > limit {
				t.Fatalf("got %+v, want an age of %v at most", u, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.update(func() { p.failing = true })
		// The store still answers the poll that it has.
		time.Sleep(pollWait + 2*time.Second)
		n.mu.Lock()
		u := n.keyUpdate(0)
		n.mu.Unlock()
		if u.ConfirmedAge < 1900*time.Millisecond {
			t.Errorf("without the store: got an age of %v, want 2 s or more", u.ConfirmedAge)
		}
	})
}

// Guards against steps that grow with the number of versions, and messages beyond their bounds.
func TestStepsAreBounded(t *testing.T) {
	n := New(Options{Uptime: &clock{start: time.Now()}})
	for v := range fleet.Version(2 * hub.MaximumRevocationSteps) {
		old, next := &fleet.Configuration{Version: v + 1, Workspaces: make([]fleet.Workspace, 1)}, &fleet.Configuration{Version: v + 2, Workspaces: make([]fleet.Workspace, 1)}
		if v == 5 {
			for k := range hub.MaximumRevokedKeys + 1 {
				old.Workspaces[0].Keys = append(old.Workspaces[0].Keys, fleet.HashKey(fmt.Sprint(k)))
			}
		}
		n.recordRemovedKeys(old, next)
		if v == 5 {
			if s := n.keys.steps[len(n.keys.steps)-1]; !s.Incomplete || len(s.Keys) != hub.MaximumRevokedKeys {
				t.Errorf("got %d keys, incomplete %v; want an incomplete step with the bound", len(s.Keys), s.Incomplete)
			}
		}
	}
	if got, want := len(n.keys.steps), hub.MaximumRevocationSteps; got != want {
		t.Errorf("got %d steps, want %d", got, want)
	}
}

// Pattern: a fleet with keys and one owner. A node that the store does not answer from before a
// revocation on refuses the key once the owner has the version. Guards against a message that is not
// sent over the link.
func TestRevokedKeyReachesANodeThatTheStoreDoesNotAnswer(t *testing.T) {
	runFleet(t, 2, 5, func(f *testFleet) {
		cut := f.nodes[len(f.nodes)-1]
		for _, n := range f.nodes {
			n.setKeys(2, "kept", "removed")
		}
		cut.isCut.Store(true)
		time.Sleep(time.Second)
		f.owner().setKeys(3, "kept")
		time.Sleep(time.Second)
		for key, want := range map[string]bool{"kept": false, "removed": true} {
			checkRevoked(t, cut.Node, key, want, "a second after the revocation")
		}
	})
}

// Pattern: a fleet with keys in calm. The owner's confirmations reach all nodes, so that each can refuse
// an unknown key. Guards against nodes that ask the store for that, each by itself.
func TestNodesConfirmTheirConfigurationWithoutTheStore(t *testing.T) {
	runFleet(t, 2, 18, func(f *testFleet) {
		count := func() int {
			f.mu.Lock()
			before := f.configurationReads
			f.mu.Unlock()
			time.Sleep(20 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.configurationReads - before
		}
		without := count()
		for _, n := range f.nodes {
			n.setKeys(2, "k")
		}
		time.Sleep(8 * time.Second)
		with := count()
		t.Logf("reads of the configuration in 20 s: %d without keys, %d with keys", without, with)
		// The owner polls in 1.2 s instead of 2.2 s: 8 calls more.
		if limit := without + 10; with > limit {
			t.Errorf("got %d reads of the configuration with keys, %d without; want %d at most", with, without, limit)
		}
		for range 50 {
			for _, n := range f.nodes {
				checkCurrent(t, n.Node, 2, true, string(n.Name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// setKeys puts a version with keys in force at a node.
func (n *testNode) setKeys(v fleet.Version, keys ...string) {
	p := fakePlatform{keys: func(fleet.Version) []string { return keys }}
	n.applyConfigurationRead(configurationResult{read: &configurationRead{}, config: p.withKeys(testConfiguration(v)), next: domain.Offset(v)})
}
