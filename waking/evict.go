package waking

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Candidate is an idle replica that may be taken down.
type Candidate struct {
	Model domain.ModelName
	// Size is the memory that taking it down frees.
	Size domain.Bytes
	// ColdStart is how long loading it again would take.
	ColdStart time.Duration
	// Chance is the probability that it is needed within the hour, Callers how
	// many requests would wait for it then; fewer than one count as one.
	Chance  float64
	Callers float64
	// IdleFor orders candidates of equal value, the longest first.
	IdleFor time.Duration
}

// value is the expected cold-start wait, in seconds, that an hour of staying loaded saves.
func (c Candidate) value() float64 {
	return c.Chance * max(1, c.Callers) * c.ColdStart.Seconds()
}

// Evict names the replicas to take down for need more bytes: those whose waking again is
// expected to cost least per byte and hour. None that the others make superfluous is among them.
// It returns nil where all together don't make the room.
func Evict(candidates []Candidate, need domain.Bytes) []domain.ModelName {
	order := slices.Clone(candidates)
	slices.SortFunc(order, compareCandidates)
	var freed domain.Bytes
	var out []Candidate
	for _, c := range order {
		if freed >= need {
			break
		}
		freed += c.Size
		out = append(out, c)
	}
	if freed < need {
		return nil
	}
	return names(trim(out, freed-need))
}

// Rank orders replicas by the expected cost of waking them again per byte and hour, the least
// first, and those of equal cost by how long they have been idle.
func Rank(candidates []Candidate) []domain.ModelName {
	order := slices.Clone(candidates)
	slices.SortFunc(order, compareCandidates)
	return names(order)
}

func compareCandidates(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(a.value()*float64(max(1, b.Size)), b.value()*float64(max(1, a.Size))),
		cmp.Compare(b.IdleFor, a.IdleFor),
		cmp.Compare(a.Model, b.Model),
	)
}

// trim leaves out what isn't needed, the dearest first.
func trim(out []Candidate, spare domain.Bytes) []Candidate {
	for i := len(out) - 1; i >= 0; i-- {
		if out[i].Size <= spare {
			spare -= out[i].Size
			out = slices.Delete(out, i, i+1)
		}
	}
	return out
}

func names(cs []Candidate) []domain.ModelName {
	out := make([]domain.ModelName, 0, len(cs))
	for _, c := range cs {
		out = append(out, c.Model)
	}
	return out
}
