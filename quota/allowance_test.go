package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newTestAllowance returns the allowance of one of ten nodes that follows an owner.
func newTestAllowance(level Level) *Allowance {
	a := &Allowance{Terms: simTerms, Random: func() float64 { return 0.999 }}
	a.Configure(0, []Limit{testLimit})
	a.Link(0)
	a.Uses(0)
	level.Workspace = "w"
	a.Apply(0, Update{Nodes: 10, Levels: []Level{level}})
	return a
}

// Guards against work for workspaces without a limit.
func TestWorkspaceWithoutLimit(t *testing.T) {
	var a Allowance
	if d, _, _ := a.Take(0, "other", 5); d != Admitted {
		t.Errorf("got %v, want Admitted", d)
	}
	if r := a.Uses(0); !r.IsEmpty() {
		t.Errorf("got %+v to report, want nothing", r)
	}
}

// Guards against a node that has never heard an owner, such as one that was just started again, and
// admits by a share that it cannot know.
func TestNodeThatHasHeardNothing(t *testing.T) {
	a := &Allowance{Terms: simTerms, Random: func() float64 { return 0 }}
	a.Configure(0, []Limit{testLimit})
	if d, _, _ := a.Take(time.Minute, "w", 1); d != Unknown {
		t.Errorf("got %v, want Unknown", d)
	}
}

// Guards against free admission without bound between two news of the owner.
func TestFreeAdmissionIsBounded(t *testing.T) {
	a := newTestAllowance(Level{Amount: testRate, Free: true})
	admitted := 0
	for range 50 {
		if d, _, _ := a.Take(time.Millisecond, "w", 10); d == Admitted {
			admitted++
		}
	}
	if want := freeShares * testRate / 10 / 10; admitted != want {
		t.Errorf("got %d requests of 10 admitted freely, want %d", admitted, want)
	}
}

// Guards against a permission to admit freely that outlives the owner's updates: a node that is cut off,
// or whose VM was suspended, decides by its share of the last level.
func TestPermissionExpires(t *testing.T) {
	a := newTestAllowance(Level{Amount: testRate, Free: true})
	now := UpdateLifetime + time.Millisecond
	if d, _, _ := a.Take(now, "w", 100); d != AdmittedByShare {
		t.Errorf("got %v for a request within the share, want AdmittedByShare", d)
	}
	if d, _, _ := a.Take(now, "w", 1000); d != Unknown {
		t.Errorf("got %v for a request beyond the share, want Unknown", d)
	}
	if a.FollowsOwner(now) {
		t.Error("the node still follows its owner")
	}
}

// Guards against requests that wait for an answer that is certain: a bucket in deep debt has no room.
func TestCertainRefusalNeedsNoQuestion(t *testing.T) {
	a := newTestAllowance(Level{Amount: -2 * testRate})
	d, _, wait := a.Take(10*time.Millisecond, "w", 500)
	if d != Refused {
		t.Fatalf("got %v, want Refused", d)
	}
	if wait < time.Second || wait > 4*time.Second {
		t.Errorf("got %v to try again, want the time in which the bucket has room", wait)
	}
	a.Apply(wait, Update{Nodes: 10, Levels: []Level{{Workspace: "w", Amount: 490}}})
	if d, _, _ := a.Take(wait, "w", 500); d != Asked {
		t.Errorf("got %v when the bucket nearly has room, want Asked", d)
	}
}

// Guards against a grant that is used after its request has given up, or after a suspension of the VM:
// it is given back.
func TestLateGrantIsGivenBack(t *testing.T) {
	for name, late := range map[string]struct {
		withdraw bool
		at       time.Duration
	}{"withdrawn": {true, 50 * time.Millisecond}, "suspended": {false, GrantLifetime + time.Millisecond}} {
		a := newTestAllowance(Level{Amount: testRate})
		_, id, _ := a.Take(0, "w", 300)
		if r := a.Uses(0); len(r.Uses) != 1 || len(r.Uses[0].Asks) != 1 {
			t.Fatalf("%s: got report %+v, want one ask", name, r)
		}
		if late.withdraw {
			a.Withdraw(id)
		}
		// The news of the answer bring the node back to its owner after the suspension.
		a.Apply(late.at, Update{Nodes: 10})
		if a.Answer(late.at, Answer{ID: id, Granted: true}) {
			t.Errorf("%s: the late grant was used", name)
		}
		r := a.Uses(late.at)
		if len(r.Uses) != 1 || r.Uses[0].Refunded != 300 {
			t.Errorf("%s: got report %+v, want a refund of 300", name, r)
		}
		if a.Answer(late.at, Answer{ID: id, Granted: true}) {
			t.Errorf("%s: a repeated answer counted", name)
		}
	}
}

// Guards against a node that keeps its shares beside what the owner grants: it hands them back once.
func TestSharesAreHandedBackOnce(t *testing.T) {
	a := newTestAllowance(Level{Amount: testRate})
	a.Unlink(0)
	a.Link(0)
	if !a.IsUrgent() {
		t.Error("the report that hands the shares back is not urgent")
	}
	r := a.Uses(0)
	if !r.Joins || len(r.Uses) != 1 || r.Uses[0].Share != testRate/10 {
		t.Errorf("got %+v, want a share of %v", r, testRate/10)
	}
	a.Apply(0, Update{Nodes: 10})
	if r := a.Uses(0); r.Joins {
		t.Errorf("got %+v, want no second share", r)
	}
}

// Guards against a mean that is higher than the shares where each share is less than a request.
func TestShareBelowOneRequest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	admitted, nodes := 0.0, 2000
	for range nodes {
		a := newTestAllowance(Level{Amount: testRate})
		a.Random = random.Float64
		a.Unlink(0)
		if d, _, _ := a.Take(0, "w", 500); d == AdmittedByShare {
			admitted += 500
		}
	}
	if got, want := admitted/float64(nodes), testRate/10.0; got > want {
		t.Errorf("got %.1f admitted in the mean, want %.1f at most", got, want)
	}
}

// Guards against a second credit without news of the owner.
func TestOneRequestOnCredit(t *testing.T) {
	a := newTestAllowance(Level{Amount: testRate, Calm: true})
	a.Random = func() float64 { return 0 }
	a.Unlink(0)
	if d, _, _ := a.Take(0, "w", 900); d != AdmittedByShare {
		t.Fatalf("got %v for the first request, want AdmittedByShare", d)
	}
	if d, _, _ := a.Take(0, "w", 900); d != Unknown {
		t.Errorf("got %v for the second request, want Unknown", d)
	}
}

// Guards against updates that are joined for a slow node and lose a level or an answer.
func TestNewsAreMerged(t *testing.T) {
	first := Update{Nodes: 3, Levels: []Level{{Workspace: "a", Amount: 1}, {Workspace: "b", Amount: 2}}, Answers: []Answer{{ID: 1}}}
	second := Update{Levels: []Level{{Workspace: "a", Amount: 5, Free: true}}, Answers: []Answer{{ID: 2, Granted: true}}, Rejoins: true}
	got := first.FollowedBy(second)
	if got.Nodes != 3 || len(got.Levels) != 2 || got.Levels[0].Amount != 5 || !got.Levels[0].Free || len(got.Answers) != 2 || !got.Rejoins {
		t.Errorf("got %+v", got)
	}
	if len(first.Answers) != 1 || first.Levels[0].Amount != 1 {
		t.Errorf("the first news were changed: %+v", first)
	}
}
