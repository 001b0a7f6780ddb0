package waking

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// EvictionCandidate is an idle replica that may be evicted.
type EvictionCandidate struct {
	Model domain.ModelName
	// Size is the memory that an eviction frees.
	Size domain.Bytes
	// ColdStart is the expected time to load the replica again.
	ColdStart time.Duration
	// ReuseProbability is the probability of a request for the replica within the next
	// hour. Waiters is the expected number of requests that would wait for its reload;
	// values below one count as one.
	ReuseProbability float64
	Waiters          float64
	// IdleFor breaks ties between candidates of equal cost; the longest idle goes first.
	IdleFor time.Duration
}

// expectedWaitSeconds returns the expected cold-start wait that keeping the replica
// loaded for an hour saves.
func (c EvictionCandidate) expectedWaitSeconds() float64 {
	return c.ReuseProbability * max(1, c.Waiters) * c.ColdStart.Seconds()
}

// ChooseEvictions returns the replicas to evict to free need bytes: those with the
// lowest expected reload cost per byte and hour, none of which is superfluous given the
// others. It returns nil if all candidates together are too small.
func ChooseEvictions(candidates []EvictionCandidate, need domain.Bytes) []domain.ModelName {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, compareCandidates)
	var freed domain.Bytes
	var selected []EvictionCandidate
	for _, c := range sorted {
		if freed >= need {
			break
		}
		freed += c.Size
		selected = append(selected, c)
	}
	if freed < need {
		return nil
	}
	return modelNames(pruneSelection(selected, freed-need))
}

// RankForEviction orders replicas by their expected reload cost per byte and hour, the
// lowest first; at equal cost, the longest idle goes first.
func RankForEviction(candidates []EvictionCandidate) []domain.ModelName {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, compareCandidates)
	return modelNames(sorted)
}

func compareCandidates(a, b EvictionCandidate) int {
	return cmp.Or(
		cmp.Compare(a.expectedWaitSeconds()*float64(max(1, b.Size)), b.expectedWaitSeconds()*float64(max(1, a.Size))),
		cmp.Compare(b.IdleFor, a.IdleFor),
		cmp.Compare(a.Model, b.Model),
	)
}

// pruneSelection removes candidates that fit into spare, the bytes selected beyond the
// need. It checks the most costly candidates first.
func pruneSelection(selected []EvictionCandidate, spare domain.Bytes) []EvictionCandidate {
	for i := len(selected) - 1; i >= 0; i-- {
		if selected[i].Size <= spare {
			spare -= selected[i].Size
			selected = slices.Delete(selected, i, i+1)
		}
	}
	return selected
}

func modelNames(candidates []EvictionCandidate) []domain.ModelName {
	out := make([]domain.ModelName, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, c.Model)
	}
	return out
}
