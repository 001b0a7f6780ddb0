package owner

import (
	"errors"
	"slices"
	"testing"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

// newOwnedAccount returns an Account with a lease under fencing token 5, a confirmed barrier,
// an observed engine state of incarnation 1 without replicas, and permits of 6 bytes for the
// models a and b.
func newOwnedAccount(memory domain.Bytes, checksFences bool) *Account {
	a := &Account{}
	a.SetFacts(memory, checksFences)
	a.SetLease(5)
	a.FinishBarrier(a.Now(), 5, engine.Done)
	a.Observe(a.Now(), engine.State{Incarnation: "1"})
	a.SetPermits([]fold.Permit{{Model: "a", AttachedAt: 6, Size: 6}, {Model: "b", AttachedAt: 7, Size: 6}})
	return a
}

// observeIncarnation applies a current engine state of an incarnation without replicas.
func observeIncarnation(a *Account, incarnation string) {
	a.Observe(a.Now(), engine.State{Incarnation: incarnation})
}

func TestInvariantLoadReservesMemoryBeforeTheOrder(t *testing.T) {
	a := newOwnedAccount(10, true)
	if err := a.StartLoad("a"); err != nil {
		t.Fatal(err)
	}
	if got, want := a.StartLoad("b"), NoMemory; !errors.Is(got, want) {
		t.Errorf("second load: got %v, want %v", got, want)
	}
	a.FinishLoad("a", engine.FailedLoad)
	if got := a.StartLoad("b"); got != nil {
		t.Errorf("load after failure: got %v, want nil", got)
	}
}

func TestFaultMemoryOfLoadWithUnknownOutcomeIsReservedUntilRestart(t *testing.T) {
	for _, checksFences := range []bool{true, false} {
		a := newOwnedAccount(12, checksFences)
		_ = a.StartLoad("a")
		a.FinishLoad("a", engine.Unclear)
		_ = a.StartUnload("a")
		a.FinishUnload("a", engine.Done)
		if a.CanRelease("a") || a.IsQuiescent() || !slices.Equal(a.ModelsWithUnknownOutcome(), []domain.ModelName{"a"}) {
			t.Errorf("checks %v: the memory of an order that may still arrive is not reserved", checksFences)
		}
		observeIncarnation(a, "1")
		observeIncarnation(a, "2")
		if got := a.IsQuiescent(); !got {
			t.Errorf("checks %v: quiescent after a restart: got %v, want true", checksFences, got)
		}
	}
}

func TestFaultRestartBeforeTheOrderEndedKeepsUnknownOutcome(t *testing.T) {
	a := newOwnedAccount(12, false)
	_ = a.StartLoad("a")
	observeIncarnation(a, "2")
	a.FinishLoad("a", engine.Unclear)
	observeIncarnation(a, "2")
	if a.IsQuiescent() {
		t.Error("the account is quiescent although the order may be in a connection to incarnation 2")
	}
}

func TestFaultBarrierUnderNewFenceClearsUnknownOutcomes(t *testing.T) {
	a := newOwnedAccount(12, true)
	_ = a.StartLoad("a")
	a.FinishLoad("a", engine.Unclear)
	a.SetLease(9)
	if got, want := a.StartUnload("a"), NeedsBarrier; !errors.Is(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	a.FinishBarrier(a.Now(), 9, engine.Done)
	observeIncarnation(a, "1")
	if !a.IsQuiescent() {
		t.Error("the account is not quiescent although orders under the older fencing token cannot take effect")
	}
	if a.CanRelease("a") {
		t.Error("the permit can be released although the replica may be loaded")
	}
}

func TestFaultTakeoverReservesEveryPermitUntilConfirmed(t *testing.T) {
	a := &Account{}
	a.SetFacts(10, true)
	a.SetPermits([]fold.Permit{{Model: "a", AttachedAt: 2, Size: 6}, {Model: "b", AttachedAt: 3, Size: 6}})
	a.SetLease(5)
	a.FinishBarrier(a.Now(), 5, engine.Done)
	observeIncarnation(a, "1")
	if got, want := a.StartLoad("b"), NoMemory; !errors.Is(got, want) {
		t.Errorf("load after a state that may lag behind: got %v, want %v", got, want)
	}
	_ = a.StartUnload("a")
	a.FinishUnload("a", engine.Done)
	if got := a.StartLoad("b"); got != nil {
		t.Errorf("got %v, want nil", got)
	}
}

func TestFaultClearedDoubtMakesReplicasUnknown(t *testing.T) {
	a := newOwnedAccount(12, false)
	a.SetDoubts([]fold.Doubt{{Fence: 3, Owner: "old", LeaseLostAt: 8}})
	if a.CanRelease("a") {
		t.Error("the permit can be released although the old owner may still load the model")
	}
	a.SetDoubts(nil)
	if a.CanRelease("a") {
		t.Error("the permit can be released although the old owner may have loaded the model before its doubt was cleared")
	}
}

func TestFaultRestartBeforeDoubtIsClearedKeepsReplicasUnknown(t *testing.T) {
	a := newOwnedAccount(12, false)
	a.SetDoubts([]fold.Doubt{{Fence: 3, Owner: "old", LeaseLostAt: 8}})
	observeIncarnation(a, "1")
	a.SetDoubts(nil)
	observeIncarnation(a, "2")
	if a.CanRelease("a") {
		t.Error("the permit can be released although the old owner may have loaded the model in incarnation 2")
	}
}

func TestInvariantEveryPermitCountsWhereFencesAreIgnored(t *testing.T) {
	for _, c := range []struct {
		checksFences bool
		want         domain.Bytes
	}{{true, 12}, {false, 0}} {
		if got := newOwnedAccount(12, c.checksFences).FreeMemory(); got != c.want {
			t.Errorf("checks %v: got %d free, want %d", c.checksFences, got, c.want)
		}
	}
}

func TestInvariantAdaptersStayWithinThePermit(t *testing.T) {
	a := newOwnedAccount(13, true)
	if got, want := a.StartAdapterLoad("a"), NotLoaded; !errors.Is(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	_ = a.StartLoad("a")
	a.FinishLoad("a", engine.Done)
	_ = a.StartLoad("b")
	a.FinishLoad("b", engine.Done)
	if got := a.StartAdapterLoad("a"); got != nil {
		t.Errorf("got %v, want nil", got)
	}
	a.FinishAdapterLoad("a", engine.Done)
	a.SetPermits([]fold.Permit{{Model: "a", AttachedAt: 6, Size: 8}, {Model: "b", AttachedAt: 7, Size: 6, Revoked: true}})
	if got, want := a.StartAdapterLoad("a"), NoMemory; !errors.Is(got, want) {
		t.Errorf("permit that exceeds the memory: got %v, want %v", got, want)
	}
	if got, want := a.StartAdapterLoad("b"), PermitRevoked; !errors.Is(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	_ = a.StartUnload("b")
	a.FinishUnload("b", engine.Done)
	if got := a.StartAdapterLoad("a"); got != nil {
		t.Errorf("got %v, want nil", got)
	}
}

func TestFaultStaleFenceResponseDropsTheLease(t *testing.T) {
	a := newOwnedAccount(12, true)
	_ = a.StartLoad("a")
	a.FinishLoad("a", engine.RefusedStale)
	if got, want := a.StartLoad("b"), NotOwner; !errors.Is(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestFaultLoadDuringReleaseIsRefused(t *testing.T) {
	a := newOwnedAccount(12, true)
	if !a.StartRelease("a") {
		t.Fatal("the permit of an unloaded model cannot be released")
	}
	if got, want := a.StartLoad("a"), Releasing; !errors.Is(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	a.CancelRelease("a")
	if got := a.StartLoad("a"); got != nil {
		t.Errorf("got %v, want nil", got)
	}
}
