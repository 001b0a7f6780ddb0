package entry

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/lease"
	"github.com/parsleylug/parsleylug/suspects"
)

// restore makes the store come back from an older copy with a version of the configuration and a
// generation of the group.
func (p *fakePlatform) restore(v fleet.Version, g lease.Generation) {
	p.update(func() { p.era, p.version, p.generation = p.era+1, v, g })
}

// versionOf returns the version in force.
func versionOf(n *Node) fleet.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version()
}

// Guards against CONFIG: a node waited at an offset that the restored store reached only after many
// versions. The version in force stays while the store has an older one. The response to the poll that
// was pending is lost.
func TestConfigurationIsReadAgainAfterARestoration(t *testing.T) {
	for _, losePolls := range []bool{false, true} {
		run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
			p.update(func() { p.shards, p.version = nil, 7 })
			time.Sleep(4 * time.Second)
			p.update(func() { p.losePolls = losePolls })
			time.Sleep(200 * time.Millisecond)
			p.restore(5, 3)
			time.Sleep(time.Second)
			p.update(func() { p.losePolls = false })
			time.Sleep(3 * time.Second)
			if got, want := versionOf(n), fleet.Version(7); got != want {
				t.Errorf("version after the return: got %d, want %d", got, want)
			}
			p.update(func() { p.version = 6 })
			time.Sleep(3 * time.Second)
			if got, want := versionOf(n), fleet.Version(7); got != want {
				t.Errorf("version after an older one was written: got %d, want %d", got, want)
			}
			p.update(func() { p.version = 8 })
			time.Sleep(3 * time.Second)
			if got, want := versionOf(n), fleet.Version(8); got != want {
				t.Errorf("version after a newer one was written: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against CONFIG: the response to a long poll was lost with the former era, and the node waited
// for its end.
func TestPendingPollOfAFormerEraIsRepeated(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 2, RegistrationsRead: true}, 4*time.Second)
		p.update(func() { p.losePolls = true })
		time.Sleep(100 * time.Millisecond)
		p.update(func() { p.losePolls = false })
		p.restore(8, 3)
		n.RecordStoreEra(1)
		// The update of the owner is still fresh.
		time.Sleep(pollCheckInterval + 50*time.Millisecond)
		if got, want := versionOf(n), fleet.Version(8); got != want {
			t.Errorf("version 300 ms after the return: got %d, want %d", got, want)
		}
	})
}

// Guards against DRAIN: the node has seen the restoration, and relies on what the owner has read before.
func TestRegistrationsAreReadAtOnceAfterARestoration(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 1, RegistrationsOffset: 2, RegistrationsRead: true}, 4*time.Second)
		p.restore(1, 3)
		n.RecordStoreEra(1)
		time.Sleep(100 * time.Millisecond)
		n.mu.Lock()
		defer n.mu.Unlock()
		if got, want := n.registrationsKnown, domain.OffsetIn(1, 2); got != want {
			t.Errorf("registrations known up to: got %d, want %d", got, want)
		}
	})
}

// Guards against a node that links in the first moment of an era and takes the owner's read of the
// former era for one of the restored store.
func TestOwnerReportsNoReadOfAFormerEra(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(4 * time.Second)
		p.update(func() { p.refuseRegistrations = true })
		for _, want := range []bool{true, false} {
			// The reads are refused from here on, but the last one is recent.
			n.mu.Lock()
			n.registrationsReadAt = time.Now()
			n.mu.Unlock()
			n.initialUpdate(func(u hub.Update) {
				if got := u.Store.RegistrationsRead; got != want {
					t.Errorf("read reported: got %v, want %v", got, want)
				}
			})
			p.restore(1, 4)
			n.RecordStoreEra(1)
		}
	})
}

// restoringTraitLog is a TraitLog whose store is restored while it acknowledges a call.
type restoringTraitLog struct {
	TraitLog
	node *Node
}

func (l restoringTraitLog) Save(context.Context, []suspects.TraitRefusal, []suspects.Trait) error {
	l.node.RecordStoreEra(1)
	return nil
}

// Guards against BUDGET: a refusal counted as stored whose record the store had lost by then.
func TestTraitsSavedInAFormerEraDoNotCountAsStored(t *testing.T) {
	store := &traitStore{}
	n := New(Options{Name: "n", Uptime: &clock{start: time.Now()}, Logger: zerolog.Nop()})
	n.Traits, n.TraitLog = store, restoringTraitLog{node: n}
	n.RecordStoreEra(0)
	for _, id := range crashedServers {
		n.ReportTraits(store.recordCrash(id))
	}
	if err := n.saveChangedTraits(t.Context()); err != nil {
		t.Fatal(err)
	}
	if changed, _ := n.traitChanges(store.TraitSnapshot().Refusals); len(changed) != 1 {
		t.Errorf("got %+v to save after the restoration, want the refused trait", changed)
	}
}

// Guards against 401 for a key that the operator had added: the restored store lacks the version, and
// the node took its own for the newest.
func TestRestoredStoreConfirmsNoOlderVersion(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.update(func() { p.shards, p.version, p.keys = nil, 7, func(fleet.Version) []string { return []string{"k"} } })
		time.Sleep(4 * time.Second)
		if !n.IsConfigurationCurrent(7) {
			t.Fatal("got not current before the restoration, want current")
		}
		p.restore(5, 3)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			n.mu.Lock()
			isNoticed := n.restoration.era == 1
			n.mu.Unlock()
			if isNoticed && n.IsConfigurationCurrent(7) {
				t.Fatal("got current while the store has version 5, want not current")
			}
		}
		p.update(func() { p.version = 7 })
		time.Sleep(4 * time.Second)
		if !n.IsConfigurationCurrent(7) {
			t.Error("got not current after the operator has written the version again, want current")
		}
	})
}

// Guards against a node that compares the owner's offsets of one era with its own of another one. In
// era 1 the store has given out fewer offsets than in era 0.
func TestOwnerAnnouncesALaterEra(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		registrationsBefore, _ := readCounts(p)
		p.restore(5, 3)
		u := hub.StoreUpdate{ConfigurationOffset: domain.OffsetIn(1, 5), RegistrationsOffset: domain.OffsetIn(1, 1), RegistrationsRead: true, ReadOffset: domain.OffsetIn(1, 1)}
		n.applyUpdate(hub.Update{Store: u})
		if !n.IsConfigurationBehind() {
			t.Error("got not behind an owner of a later era, want behind")
		}
		time.Sleep(2 * time.Second)
		if registrationsAfter, _ := readCounts(p); registrationsAfter == registrationsBefore {
			t.Error("the registrations were not read again")
		}
		if got, want := versionOf(n), fleet.Version(5); got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
		if n.IsConfigurationBehind() {
			t.Error("got behind after the read, want not behind")
		}
	})
}

// Guards against a node that trusts an owner that has not seen the restoration: it would read
// nothing, and apply changes to registrations that the store does not have.
func TestUpdatesOfAFormerEraAreIgnored(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		p.restore(1, 3)
		n.RecordStoreEra(1)
		time.Sleep(3 * time.Second)
		before, _ := readCounts(p)
		u := hub.Update{Store: hub.StoreUpdate{ConfigurationOffset: 90, RegistrationsOffset: 80, RegistrationsRead: true, ReadOffset: 90},
			Registrations: hub.RegistrationChanges{Previous: 1, Offset: 90, Changes: []fleet.Change{{ID: "i", Offset: 89}}}}
		for range 5 {
			n.applyUpdate(u)
			time.Sleep(n.RegistrationsInterval)
		}
		if n.IsConfigurationBehind() {
			t.Error("got behind an owner of a former era, want not behind")
		}
		if got, want := len(n.Views.Get().Servers["s"]), 1; got != want {
			t.Errorf("usable servers: got %d, want %d", got, want)
		}
		if after, _ := readCounts(p); after-before < 4 {
			t.Errorf("got %d reads beside an owner of a former era, want 4 at least", after-before)
		}
	})
}

// A node without a link to an owner learns of the restoration from its own calls.
func TestUnlinkedNodeReadsRegistrationsAgain(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.update(func() { p.shards = nil })
		time.Sleep(4 * time.Second)
		p.restore(1, 3)
		time.Sleep(2 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		if got, want := n.registrationsKnown, domain.OffsetIn(1, 2); got != want {
			t.Errorf("registrations known up to: got %d, want %d", got, want)
		}
	})
}

// Guards against an owner that does not tell the others: they would read the restored store only at
// the end of their long polls. What it passes on does not reach over the restoration.
func TestOwnerAnnouncesTheRestoration(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(4 * time.Second)
		p.restore(1, 3)
		time.Sleep(3 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		u := n.storeUpdate(true)
		if u.ConfigurationOffset.Era() != 1 || u.RegistrationsOffset.Era() != 1 || u.ReadOffset.Era() != 1 {
			t.Errorf("got %+v, want offsets of era 1", u)
		}
		if c := n.passedChanges([]domain.ServerID{"i"}, domain.OffsetIn(2, 9)); len(c.Changes) != 0 {
			t.Errorf("got changes %+v over a restoration, want none", c)
		}
	})
}

// Guards against two owners, and against orders that all servers reject: the lease is held when the
// store comes back with a lower generation.
func TestOwnerRenewsItsLeaseAfterARestoration(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(4 * time.Second)
		addRequestAndCheckOrders(t, n, p, 1, "orders before the restoration")
		p.update(func() { p.engineState.Models = nil })
		p.restore(1, 2)
		time.Sleep(4 * time.Second)
		if !n.isOwner() {
			t.Error("the node that the restored store names is not the owner")
		}
		p.mu.Lock()
		last := p.sentGenerations[len(p.sentGenerations)-1]
		p.mu.Unlock()
		if want := lease.GenerationIn(1, 2); last != want {
			t.Errorf("generation sent: got %d, want %d", last, want)
		}
		n.mu.Lock()
		fence := n.fence
		n.mu.Unlock()
		if first := p.fences[0]; fence <= first {
			t.Errorf("got fence %d after the restoration, want a higher one than %d", fence, first)
		}
	})
}

// The restored store names another owner: this one ends its term with its next renewal, which the
// restoration makes due at once.
func TestOwnerEndsWhenTheRestoredStoreNamesAnother(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(4 * time.Second)
		p.update(func() { p.shards = nil })
		p.restore(1, 2)
		n.RecordStoreEra(1)
		time.Sleep(10 * time.Millisecond)
		if n.isOwner() {
			t.Error("the former owner still has the lease after the return of the store was seen")
		}
		addRequestAndCheckOrders(t, n, p, 0, "orders of the former owner")
	})
}

// Guards against an interruption, and against DRAIN: of two servers whose registrations are missing
// after the return, one registers again, and the other one does not.
func TestRegistrationsThatTheStoreLost(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		change := func(e domain.Era, position uint64, id domain.ServerID) fleet.Change {
			return fleet.Change{ID: id, Offset: domain.OffsetIn(e, position), Server: &fleet.Server{ID: id, Service: "s", Slots: 8, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 1}}}
		}
		var all []fleet.Change
		for i, id := range []domain.ServerID{"i", "j", "k", "l", "m"} {
			all = append(all, change(0, uint64(10+i), id))
		}
		p.update(func() { p.shards, p.registrations = nil, all })
		n.applyRegistrations(all, true, 20, nil)
		time.Sleep(3 * time.Second)
		kept := []fleet.Change{change(1, 10, "i"), change(1, 11, "j"), change(1, 12, "k")}
		p.restore(1, 2)
		p.update(func() { p.registrations = kept })
		n.RecordStoreEra(1)
		time.Sleep(time.Second)
		if got, want := len(n.Views.Get().Servers["s"]), 5; got != want {
			t.Errorf("usable servers 1 s after the return: got %d, want %d", got, want)
		}
		p.update(func() { p.registrations = slices.Concat(kept, []fleet.Change{change(1, 13, "l")}) })
		time.Sleep(4 * time.Second)
		if got, want := len(n.Views.Get().Servers["s"]), 4; got != want {
			t.Errorf("usable servers 5 s after the return: got %d, want %d", got, want)
		}
	})
}

// Guards against BUDGET and DENIED: the restored store lacks a refusal that was saved, and has one
// whose removal was lost.
func TestTraitsAreSavedAgainAfterARestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cleared suspects.Trait = 9
		p := &fakePlatform{version: 1}
		store, saved := &traitStore{}, &traitLog{}
		n := newOwner(p, saved, store)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		time.Sleep(2 * time.Second)
		for _, id := range crashedServers {
			n.ReportTraits(store.recordCrash(id))
		}
		time.Sleep(3 * time.Second)
		store.mu.Lock()
		_, _ = store.traits.RecordCompletion(time.Now(), []suspects.Trait{cleared})
		store.mu.Unlock()
		saved.mu.Lock()
		if saved.refused[testTrait].Number == 0 {
			t.Error("the trait was not saved before the restoration")
		}
		saved.refused = map[suspects.Trait]suspects.TraitRefusal{cleared: {Trait: cleared, Number: 1, Remaining: time.Hour}}
		saved.mu.Unlock()
		p.restore(1, 2)
		time.Sleep(6 * time.Second)
		saved.mu.Lock()
		if saved.refused[testTrait].Number == 0 || saved.refused[cleared].Number != 0 {
			t.Errorf("got %+v in the restored store, want the refused trait alone", saved.refused)
		}
		saved.mu.Unlock()
		cancel()
		time.Sleep(10 * time.Second)
	})
}
