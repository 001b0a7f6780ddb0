package suspects

import "testing"

// Guards against DENIED: a node that knew as many completed traits as it keeps dropped any of
// them, and refused sound requests whose trait had just completed.
func TestJustCompletedTraitsAreKept(t *testing.T) {
	const sharedTraits, laterTraits = 100, maximumTraitCompletions / 2
	var s Traits
	for i := range maximumTraitCompletions {
		s.RecordCompletion(start, []Trait{Trait(1_000_000 + i)})
	}
	now := start.Add(betweenCrashes)
	var shared []Trait
	for i := range sharedTraits {
		shared = append(shared, Trait(1+i))
	}
	s.RecordCompletion(now, shared)
	for i := range laterTraits {
		s.RecordCompletion(now.Add(betweenCrashes), []Trait{Trait(2_000_000 + i)})
	}
	now = crashServers(&s, now.Add(betweenCrashes), traitCrashLimitOverall, shared...)
	refused := 0
	for _, t := range shared {
		if isRefused(&s, now, t) {
			refused++
		}
	}
	if got, want := refused, 0; got != want {
		t.Errorf("got %d of %d traits that have just completed refused, want %d", got, sharedTraits, want)
	}
}

// Guards against BUDGET: many refusals dropped one that lasts, in place of one that ends soon.
func TestLongRefusalOutlastsManyShortOnes(t *testing.T) {
	const longRefusals = 100
	var s Traits
	for i := range longRefusals {
		s.Apply(start, TraitReport{Refusals: []TraitRefusal{{Trait: Trait(1 + i), Number: 2, Remaining: longestTraitRefusal}}})
	}
	for i := range 2 * maximumTraitRecords {
		s.Apply(start, TraitReport{Refusals: []TraitRefusal{{Trait: Trait(1_000_000 + i), Number: 1, Remaining: firstTraitRefusal}}})
	}
	for i := range longRefusals {
		if !isRefused(&s, start, Trait(1+i)) {
			t.Fatalf("got trait %d of the first %d not refused, want all refused", i, longRefusals)
		}
	}
	if got, want := len(s.refusals), maximumTraitRecords; got > want {
		t.Errorf("got %d refusals, want %d at most", got, want)
	}
}
