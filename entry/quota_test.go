package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/quota"
)

const (
	// testQuotaRate is the rate and the burst of the test workspace a second.
	testQuotaRate = 1000
	// testQuotaWait is how long a request waits for its quota.
	testQuotaWait = 100 * time.Millisecond
)

var testTerms = quota.Terms{Window: 8 * time.Second, Tolerance: 0.1}

// runQuotaFleet runs nodes that are linked to an owner, with a configuration with a workspace in
// force.
func runQuotaFleet(t *testing.T, nodes int, play func(f *testFleet)) {
	t.Helper()
	runFleet(t, nodes, 0, func(f *testFleet) {
		for _, n := range f.nodes {
			n.quotas.terms, n.quotas.allowance.Terms = testTerms, testTerms
		}
		f.configureQuota(2, testQuotaRate)
		play(f)
	})
}

// configureQuota puts a version with a rate in force at all nodes.
func (f *testFleet) configureQuota(v fleet.Version, rate float64) {
	for _, n := range f.nodes {
		n.mu.Lock()
		c := *n.config
		n.mu.Unlock()
		c.Version, c.Workspaces = v, []fleet.Workspace{{Name: "w", Quota: fleet.Quota{Rate: rate, Burst: rate}}}
		c.Index()
		n.applyConfigurationRead(configurationResult{read: &configurationRead{}, config: &c, next: 1})
	}
}

// quotaLoad is the result of a load on the test workspace.
type quotaLoad struct {
	mu                               sync.Mutex
	offered, admitted, refused, fail float64
	longest                          time.Duration
}

// load sends requests of 20 to random nodes for a time, at a rate a second.
func (f *testFleet) load(nodes []*testNode, rate float64, d time.Duration) *quotaLoad {
	const amount = 20
	l := &quotaLoad{}
	random := rand.New(rand.NewPCG(1, 2))
	var group sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(random.ExpFloat64() * amount / rate * float64(time.Second))) {
		n := nodes[random.IntN(len(nodes))]
		group.Go(func() {
			start := time.Now()
			decision := n.Quota().Take(f.ctx, &dispatch.QuotaCharge{Workspace: "w", Amount: amount}, testQuotaWait)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.longest = max(l.longest, time.Since(start))
			l.offered += amount
			switch {
			case decision.IsAdmitted:
				l.admitted += amount
			case decision.IsUnknown:
				l.fail += amount
			default:
				l.refused += amount
			}
		})
	}
	group.Wait()
	return l
}

// Guards against a quota that does not hold over the links: with twice the rate offered at five nodes
// with an owner among them, the rate is admitted, and no request waits longer than it may.
func TestQuotaHoldsOverLinks(t *testing.T) {
	runQuotaFleet(t, 5, func(f *testFleet) {
		l := f.load(f.nodes, 2*testQuotaRate, testTerms.Window)
		if bound := testTerms.Bound(quota.Limit{Rate: testQuotaRate, Burst: testQuotaRate}); l.admitted > bound || l.admitted < 0.85*8*testQuotaRate {
			t.Errorf("got %v admitted of %v, want %v to %v", l.admitted, l.offered, 0.85*8*testQuotaRate, bound)
		}
		if l.fail > 0 || l.longest > testQuotaWait {
			t.Errorf("got %v not known and a wait of %v, want none and %v at most", l.fail, l.longest, testQuotaWait)
		}
	})
}

// Guards against refusals below the limit, and against requests that ask although the bucket is well
// filled.
func TestQuotaBelowTheLimitOverLinks(t *testing.T) {
	runQuotaFleet(t, 5, func(f *testFleet) {
		time.Sleep(4 * time.Second)
		l := f.load(f.nodes, testQuotaRate/1.8, 20*time.Second)
		if l.admitted != l.offered {
			t.Errorf("got %v of %v admitted, %v refused and %v not known, want all", l.admitted, l.offered, l.refused, l.fail)
		}
		if got := f.count("QuotaShareUsed"); got != 0 {
			t.Errorf("got %d nodes that used their shares, want none", got)
		}
	})
}

// Guards against nodes that admit without bound, or nothing, between two owners.
func TestQuotaWhileTheOwnerIsReplaced(t *testing.T) {
	runQuotaFleet(t, 5, func(f *testFleet) {
		time.Sleep(4 * time.Second)
		f.kill(f.owner())
		l := f.load(f.nodes, 2*testQuotaRate, testTerms.Window)
		if bound := testTerms.Bound(quota.Limit{Rate: testQuotaRate, Burst: testQuotaRate}); l.admitted > bound || l.admitted < 0.5*8*testQuotaRate {
			t.Errorf("got %v admitted of %v, want %v to %v", l.admitted, l.offered, 0.5*8*testQuotaRate, bound)
		}
		if f.count("QuotaShareUsed") == 0 {
			t.Error("no node used its share while there was no owner")
		}
		for _, n := range f.nodes {
			if !n.isOwner() && !n.quotas.allowance.FollowsOwner(n.Uptime.Now()) {
				t.Errorf("%s does not follow the new owner", n.Name)
			}
		}
	})
}

// Guards against a lowered limit that does not bind, and against a quota that stays after its rate was
// removed.
func TestQuotaFollowsTheConfiguration(t *testing.T) {
	runQuotaFleet(t, 3, func(f *testFleet) {
		f.configureQuota(3, testQuotaRate/10)
		time.Sleep(time.Second)
		low := f.load(f.nodes, testQuotaRate, testTerms.Window)
		if bound := testTerms.Bound(quota.Limit{Rate: testQuotaRate / 10, Burst: testQuotaRate / 10}); low.admitted > bound {
			t.Errorf("got %v admitted after the limit was lowered, want %v at most", low.admitted, bound)
		}
		f.configureQuota(4, 0)
		if free := f.load(f.nodes, 2*testQuotaRate, 2*time.Second); free.admitted != free.offered {
			t.Errorf("got %v of %v admitted without a limit, want all", free.admitted, free.offered)
		}
	})
}

// jumpingClock is an Uptime that a test can set ahead, as a suspension of the VM does.
type jumpingClock struct {
	start time.Time
	ahead time.Duration
}

func (c *jumpingClock) Now() time.Duration { return time.Since(c.start) + c.ahead }

// newTestQuotas returns the quotas of a node that follows an owner of ten nodes.
func newTestQuotas(c *jumpingClock) *quotas {
	q := newQuotas(&Options{QuotaTerms: testTerms, Uptime: c, Logger: zerolog.Nop()})
	q.configure(&fleet.Configuration{Workspaces: []fleet.Workspace{{Name: "w", Quota: fleet.Quota{Rate: testQuotaRate, Burst: testQuotaRate}}}})
	q.link()
	q.report()
	q.apply(quota.Update{Nodes: 10, Levels: []quota.Level{{Workspace: "w", Amount: testQuotaRate}}})
	return q
}

// Guards against a grant that a node uses which was suspended after it had asked: the amount is given
// back and the request does not run.
func TestGrantOfASuspendedNodeIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &jumpingClock{start: time.Now()}
		q := newTestQuotas(c)
		// The node's own share is less than the amount, and may admit it by chance.
		q.allowance.Random = func() float64 { return 1 }
		result := make(chan dispatch.QuotaDecision)
		charge := &dispatch.QuotaCharge{Workspace: "w", Amount: 300}
		go func() { result <- q.Take(context.Background(), charge, testQuotaWait) }()
		synctest.Wait()
		asked := q.report()
		if len(asked.Uses) != 1 || len(asked.Uses[0].Asks) != 1 {
			t.Fatalf("got report %+v, want one ask", asked)
		}
		c.ahead = quota.GrantLifetime + time.Second
		q.apply(quota.Update{Nodes: 10, Answers: []quota.Answer{{ID: asked.Uses[0].Asks[0].ID, Granted: true}}})
		if d := <-result; d.IsAdmitted || charge.IsTaken {
			t.Errorf("got %+v with charge %+v, want the grant not used", d, charge)
		}
		refunded := 0.0
		for _, u := range q.report().Uses {
			refunded += u.Refunded
		}
		if refunded != 300 {
			t.Errorf("got a refund of %v, want 300", refunded)
		}
	})
}

// Guards against requests that run in a later window than they were charged in: an old charge is
// replaced.
func TestOldChargeIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &jumpingClock{start: time.Now()}
		q := newTestQuotas(c)
		q.apply(quota.Update{Nodes: 10, Levels: []quota.Level{{Workspace: "w", Amount: testQuotaRate, Free: true}}})
		charge := &dispatch.QuotaCharge{Workspace: "w", Amount: 30}
		for range 2 {
			if d := q.Take(t.Context(), charge, testQuotaWait); !d.IsAdmitted {
				t.Fatalf("got %+v, want it admitted", d)
			}
		}
		if r := q.report(); r.Uses[0].Used != 30 {
			t.Errorf("got %+v for a request that asked twice at once, want one charge", r)
		}
		c.ahead = chargeLifetime + time.Millisecond
		if d := q.Take(t.Context(), charge, testQuotaWait); !d.IsAdmitted {
			t.Fatalf("got %+v, want it admitted", d)
		}
		if r := q.report(); r.Uses[0].Used != 30 || r.Uses[0].Refunded != 30 {
			t.Errorf("got %+v for an old charge, want a refund and a new charge", r)
		}
	})
}

// Guards against waiting requests that hold on for an owner whose link is lost.
func TestWaitsEndWithTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuotas(&jumpingClock{start: time.Now()})
		start := time.Now()
		result := make(chan dispatch.QuotaDecision)
		go func() {
			result <- q.Take(context.Background(), &dispatch.QuotaCharge{Workspace: "w", Amount: 50}, testQuotaWait)
		}()
		synctest.Wait()
		q.unlink()
		if d := <-result; !d.IsAdmitted || d.Basis != basisShare || time.Since(start) > 0 {
			t.Errorf("got %+v after %v, want it admitted by the share at once", d, time.Since(start))
		}
	})
}

// Guards against work and bytes for configurations without quotas.
func TestNoQuotasNoReports(t *testing.T) {
	q := newQuotas(&Options{})
	q.configure(&fleet.Configuration{Workspaces: []fleet.Workspace{{Name: "w"}}})
	q.link()
	q.begin("n")
	if r := q.report(); !r.IsEmpty() || q.isOwner() || !q.fullUpdate().IsEmpty() {
		t.Errorf("got report %+v and news %+v, want nothing", r, q.fullUpdate())
	}
}

// Load: all nodes were killed and nobody owns the ledger yet. Guards against refused callers that come
// back before there is an owner, and are refused again.
func TestCallersComeBackWhenThereIsAnOwner(t *testing.T) {
	q := newQuotas(&Options{Uptime: &clock{start: time.Now()}, Logger: zerolog.Nop(), QuotaTerms: quota.Terms{Window: 8 * time.Second, Tolerance: 0.1}})
	c := &fleet.Configuration{Workspaces: []fleet.Workspace{{Name: "w", Quota: fleet.Quota{Rate: 10, Burst: 10}}}}
	c.Index()
	q.configure(c)
	d := q.Take(t.Context(), &dispatch.QuotaCharge{Workspace: "w", Amount: 1}, 0)
	if !d.IsUnknown || d.RetryAfter != firstOwnerDelay {
		t.Errorf("without an owner since the start: got %+v, want an unknown quota and %v", d, firstOwnerDelay)
	}
	q.link()
	q.apply(quota.Update{Nodes: 87})
	q.unlink()
	if d := q.Take(t.Context(), &dispatch.QuotaCharge{Workspace: "w", Amount: 5}, 0); d.IsAdmitted || d.RetryAfter != 0 {
		t.Errorf("after the loss of an owner: got %+v, want no such wait", d)
	}
}
