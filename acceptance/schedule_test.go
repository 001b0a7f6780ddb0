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
	// loadTimePer16GiB is how long an engine takes to load 16 GiB from the weight store.
	loadTimePer16GiB = 4 * time.Second
	// weightStoreSlots is the number of loads that the weight store serves at once,
	// loadSpacing the minimum time between two load starts.
	weightStoreSlots = 4
	loadSpacing      = 200 * time.Millisecond
)

// idealMeanWait returns the mean wait under a shortest-job-first schedule of the loads
// without gaps, with the same number of callers for each model.
func idealMeanWait(models []configuration.Model) time.Duration {
	sizes := make([]domain.Bytes, 0, len(models))
	for _, m := range models {
		sizes = append(sizes, m.Memory)
	}
	slices.Sort(sizes)
	var slotFreeAt [weightStoreSlots]time.Duration
	var total, loadStart time.Duration
	for i, s := range sizes {
		slices.Sort(slotFreeAt[:])
		loadStart = max(slotFreeAt[0], loadStart)
		slotFreeAt[0] = loadStart + time.Duration(float64(loadTimePer16GiB)*float64(s)/float64(16*domain.Gibibyte))
		total += slotFreeAt[0]
		if i+1 < weightStoreSlots {
			loadStart += loadSpacing
		}
	}
	return total / time.Duration(len(models))
}

// TestBurstAgainstIdealSchedule sends 300 concurrent requests for 12 cold models to 7
// nodes. Their mean wait may be at most 1.3 times that of the ideal schedule.
func TestBurstAgainstIdealSchedule(t *testing.T) {
	const callers = 300
	s := start(t, 7, "--engines", "20", "--load-time", loadTimePer16GiB.String(), "--token-interval", "1ms")
	var models []configuration.Model
	var copies domain.ReplicaCount
	for _, r := range configuration.Sample() {
		if r.Model != nil && len(models) < 12 {
			models = append(models, *r.Model)
			copies += r.Model.Copies
		}
	}
	responses := make([]response, callers)
	var wait sync.WaitGroup
	for i := range responses {
		wait.Go(func() {
			id := fmt.Sprintf("schedule-%d", i)
			responses[i] = sendChat(s.nodes[i%7].callerAddress, id, string(models[i%12].Name), id, true, time.Minute)
		})
	}
	wait.Wait()
	var total, longest time.Duration
	for i, a := range responses {
		if !a.complete {
			t.Errorf("request %d: got %+v, want a complete response", i, a)
		}
		total += a.latency
		longest = max(longest, a.latency)
	}
	o := s.checkLimits()
	if got, want := o.WeightStore.MostAtOnce, weightStoreSlots; got > want {
		t.Errorf("got %d loads at once, want at most %d", got, want)
	}
	if got, want := o.WeightStore.Loads, int(copies); got < len(models) || got > want {
		t.Errorf("got %d loads, want at least one per model and at most the %d permitted copies", got, want)
	}
	mean, ideal := total/callers, idealMeanWait(models)
	t.Logf("mean wait %v, ideal schedule %v (%.2f times), longest wait %v, loads %d, at most %d at once", mean, ideal, float64(mean)/float64(ideal), longest, o.WeightStore.Loads, o.WeightStore.MostAtOnce)
	if got, want := mean, ideal*13/10; got > want {
		t.Errorf("got a mean wait of %v, want at most %v", got, want)
	}
}
