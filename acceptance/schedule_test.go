package acceptance

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

const (
	// scheduleLoad is how long 16 GiB take from the weight store.
	scheduleLoad = 4 * time.Second
	// scheduleSlots and scheduleSpacing are what the weight store carries.
	scheduleSlots   = 4
	scheduleSpacing = 200 * time.Millisecond
)

// idealMean is the mean wait of as many callers a model where the loads run shortest first with
// nothing lost between them.
func idealMean(models []configuration.Model) time.Duration {
	sizes := make([]domain.Bytes, 0, len(models))
	for _, m := range models {
		sizes = append(sizes, m.Memory)
	}
	slices.Sort(sizes)
	var free [scheduleSlots]time.Duration
	var sum, begin time.Duration
	for i, s := range sizes {
		slices.Sort(free[:])
		begin = max(free[0], begin)
		free[0] = begin + time.Duration(float64(scheduleLoad)*float64(s)/float64(16*domain.Gibibyte))
		sum += free[0]
		if i+1 < scheduleSlots {
			begin += scheduleSpacing
		}
	}
	return sum / time.Duration(len(models))
}

// TestBurstAgainstIdealSchedule asks for 12 cold models at 7 nodes, 300 callers at once.
func TestBurstAgainstIdealSchedule(t *testing.T) {
	const callers = 300
	s := start(t, 7, "--engines", "20", "--load-time", scheduleLoad.String(), "--token-interval", "1ms")
	var models []configuration.Model
	var copies domain.ReplicaCount
	for _, r := range configuration.Sample() {
		if r.Model != nil && len(models) < 12 {
			models = append(models, *r.Model)
			copies += r.Model.Copies
		}
	}
	answers := make([]answer, callers)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Go(func() {
			id := fmt.Sprintf("schedule-%d", i)
			answers[i] = ask(s.nodes[i%7].caller, id, string(models[i%12].Name), id, true, time.Minute)
		})
	}
	wait.Wait()
	var sum, most time.Duration
	for i, a := range answers {
		if !a.whole {
			t.Errorf("request %d: got %+v, want a whole answer", i, a)
		}
		sum += a.took
		most = max(most, a.took)
	}
	o := s.checkLimits()
	if got, want := o.WeightStore.MostAtOnce, scheduleSlots; got > want {
		t.Errorf("got %d loads at once, want at most %d", got, want)
	}
	if got, want := o.WeightStore.Loads, int(copies); got < len(models) || got > want {
		t.Errorf("got %d loads, want one a model at least and %d permitted copies at most", got, want)
	}
	mean, ideal := sum/callers, idealMean(models)
	t.Logf("mean wait %v, of an ideal schedule %v (%.2f times), longest %v, loads %d, at once %d", mean, ideal, float64(mean)/float64(ideal), most, o.WeightStore.Loads, o.WeightStore.MostAtOnce)
	if got, want := mean, ideal*13/10; got > want {
		t.Errorf("got a mean wait of %v, want at most %v", got, want)
	}
}
