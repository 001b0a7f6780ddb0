package entry

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
)

// checkAppliedInOneTransfer checks that a node has version 2 in force and that the store
// began to send it only once.
func checkAppliedInOneTransfer(t *testing.T, n *Node, p *fakePlatform, before int) {
	t.Helper()
	if got, want := n.Views.Get().Config.Version, fleet.Version(2); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if got, want := p.transfers-before, 1; got != want {
		t.Errorf("transfers of the configuration: got %d, want %d", got, want)
	}
}

func transferCount(p *fakePlatform) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.transfers
}

// Guards against CONFIG: a node on a slow link ended the transfer of a configuration because
// the owner had announced it, and started over for ever.
func TestAnnouncementDoesNotEndATransferInProgress(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		before := transferCount(p)
		p.update(func() { p.version, p.transferTime = 2, 2*time.Second })
		applyRepeatedly(n, hub.StoreUpdate{ConfigurationOffset: 2, RegistrationsOffset: 2, RegistrationsRead: true}, 3*time.Second)
		checkAppliedInOneTransfer(t, n, p, before)
	})
}

// Guards against CONFIG: while an overloaded store refused some calls and served others, each
// served one counted as a recovery, and ended the transfer of a configuration.
func TestRecoveryOfOtherCallsDoesNotEndATransferInProgress(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		before := transferCount(p)
		p.update(func() { p.version, p.transferTime = 2, 2*time.Second })
		for i := range 6 {
			p.update(func() { p.refuseRegistrations = i%2 == 0 })
			time.Sleep(700 * time.Millisecond)
		}
		checkAppliedInOneTransfer(t, n, p, before)
	})
}

// Guards against CONFIG: a node without a link to the owner ended a poll after its wait, even
// while the configuration was arriving.
func TestMissingStoreUpdatesDoNotEndATransferInProgress(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		before := transferCount(p)
		p.update(func() { p.version, p.transferTime = 2, 4*time.Second })
		time.Sleep(5 * time.Second)
		checkAppliedInOneTransfer(t, n, p, before)
	})
}

// Guards against LOST: a node did not know that requests waited on its link behind a large
// configuration, and refused them after their callers had left.
func TestLinkDelayIsTheTimeThatAConfigurationHasBeenArriving(t *testing.T) {
	runWithStoreUpdates(t, func(n *Node, p *fakePlatform) {
		if got, want := n.LinkDelay(), time.Duration(0); got != want {
			t.Errorf("before: got %v, want %v", got, want)
		}
		p.update(func() { p.version, p.transferTime = 2, 2*time.Second })
		time.Sleep(time.Second)
		if got, low, high := n.LinkDelay(), 900*time.Millisecond, time.Second; got < low || got > high {
			t.Errorf("in the middle: got %v, want %v to %v", got, low, high)
		}
		time.Sleep(2 * time.Second)
		if got, want := n.LinkDelay(), time.Duration(0); got != want {
			t.Errorf("after: got %v, want %v", got, want)
		}
	})
}
