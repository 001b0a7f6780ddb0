package hub

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/suspects"
)

// maximumRefusals bounds the number of refusals of one trait in a message.
const maximumRefusals = 1 << 16

// wireTraits is a suspects.TraitReport; nil if it is empty.
type wireTraits struct {
	Crashes []wireTraitCrash
	// Runs has, for each of the crashes, how long the requests with its traits had run, in
	// milliseconds. It is missing in messages of earlier versions.
	Runs        [][]int64
	Completions []wireTraitCompletion
	Refusals    []wireTraitRefusal
}

type wireTraitCrash struct {
	_               struct{} `cbor:",toarray"`
	Server          string
	AgeMilliseconds int64
	Traits          []uint64
}

type wireTraitCompletion struct {
	_               struct{} `cbor:",toarray"`
	Trait           uint64
	AgeMilliseconds int64
}

type wireTraitRefusal struct {
	_                     struct{} `cbor:",toarray"`
	Trait                 uint64
	Number                int
	RemainingMilliseconds int64
}

func encodeTraits(r suspects.TraitReport) *wireTraits {
	if r.IsEmpty() {
		return nil
	}
	w := &wireTraits{}
	for _, c := range r.Crashes {
		k := wireTraitCrash{Server: string(c.Server), AgeMilliseconds: c.Age.Milliseconds()}
		for _, t := range c.Traits {
			k.Traits = append(k.Traits, uint64(t))
		}
		w.Runs = append(w.Runs, milliseconds(c.Ran))
		w.Crashes = append(w.Crashes, k)
	}
	for _, c := range r.Completions {
		w.Completions = append(w.Completions, wireTraitCompletion{Trait: uint64(c.Trait), AgeMilliseconds: c.Age.Milliseconds()})
	}
	for _, c := range r.Refusals {
		w.Refusals = append(w.Refusals, wireTraitRefusal{Trait: uint64(c.Trait), Number: c.Number, RemainingMilliseconds: c.Remaining.Milliseconds()})
	}
	return w
}

// decode returns the report without the entries that are out of range.
func (w *wireTraits) decode() suspects.TraitReport {
	var r suspects.TraitReport
	if w == nil {
		return r
	}
	for i, k := range w.Crashes {
		age, ok := decodeAge(k.AgeMilliseconds)
		if !ok || k.Server == "" {
			continue
		}
		c := suspects.TraitCrash{Server: domain.ServerID(k.Server), Age: age}
		for _, t := range k.Traits {
			c.Traits = append(c.Traits, suspects.Trait(t))
		}
		if i < len(w.Runs) {
			c.Ran = decodeRuns(w.Runs[i], len(k.Traits))
		}
		r.Crashes = append(r.Crashes, c)
	}
	for _, c := range w.Completions {
		if age, ok := decodeAge(c.AgeMilliseconds); ok {
			r.Completions = append(r.Completions, suspects.TraitCompletion{Trait: suspects.Trait(c.Trait), Age: age})
		}
	}
	for _, c := range w.Refusals {
		if remaining, ok := decodeAge(c.RemainingMilliseconds); ok && c.Number >= 1 && c.Number <= maximumRefusals {
			r.Refusals = append(r.Refusals, suspects.TraitRefusal{Trait: suspects.Trait(c.Trait), Number: c.Number, Remaining: remaining})
		}
	}
	return r
}

func milliseconds(durations []time.Duration) []int64 {
	var w []int64
	for _, d := range durations {
		w = append(w, d.Milliseconds())
	}
	return w
}

// decodeRuns returns at most count durations. What is out of range counts as unknown.
func decodeRuns(w []int64, count int) []time.Duration {
	var runs []time.Duration
	for _, ms := range w[:min(len(w), count)] {
		d, _ := decodeAge(ms)
		runs = append(runs, d)
	}
	return runs
}

// decodeAge returns a time in a message, or false if it is out of range.
func decodeAge(milliseconds int64) (time.Duration, bool) {
	if milliseconds < 0 || milliseconds > maximumAge.Milliseconds() {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}
