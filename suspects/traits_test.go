package suspects

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	badTrait, otherTrait, sharedTrait Trait = 1, 2, 3
	// betweenCrashes is the time between the crashes in a test.
	betweenCrashes = 200 * time.Millisecond
)

// crashServers records one crash of each of count further servers with the traits of the
// requests that ran there.
func crashServers(s *Traits, now time.Time, count int, traits ...Trait) time.Time {
	for range count {
		now = now.Add(betweenCrashes)
		s.RecordCrash(now, domain.ServerID(fmt.Sprint(now.UnixNano())), traits)
	}
	return now
}

func isRefused(s *Traits, now time.Time, t Trait) bool {
	_, _, refused := s.Refused(now, []Trait{t})
	return refused
}

func TestTraitThatExplainsThreeCrashesIsRefused(t *testing.T) {
	var s Traits
	s.RecordCompletion(start, []Trait{sharedTrait})
	now := crashServers(&s, start, traitCrashLimit-1, badTrait, sharedTrait)
	if isRefused(&s, now, badTrait) {
		t.Errorf("got the trait refused after %d crashes, want %d", traitCrashLimit-1, traitCrashLimit)
	}
	now = crashServers(&s, now, 1, badTrait, sharedTrait)
	if !isRefused(&s, now, badTrait) || isRefused(&s, now, sharedTrait) {
		t.Errorf("refused: got %v, trait of completed requests %v, want true, false", isRefused(&s, now, badTrait), isRefused(&s, now, sharedTrait))
	}
	if !s.IsExplained(domain.ServerID(fmt.Sprint(now.UnixNano())), now) {
		t.Error("got a crash without a known cause, want one with a known cause")
	}
}

// Guards against LOST: the traits that sound requests share with the bad ones were refused too.
func TestCompletionEndsSuspicionAndRefusal(t *testing.T) {
	var s Traits
	now := crashServers(&s, start, traitCrashLimitOverall, badTrait, sharedTrait)
	if !isRefused(&s, now, badTrait) || !isRefused(&s, now, sharedTrait) {
		t.Fatal("got traits that are always seen together not refused, want refused")
	}
	r, decisions := s.RecordCompletion(now, []Trait{sharedTrait})
	if isRefused(&s, now, sharedTrait) || !isRefused(&s, now, badTrait) {
		t.Errorf("refused: got completed trait %v, other %v, want false, true", isRefused(&s, now, sharedTrait), isRefused(&s, now, badTrait))
	}
	if len(r.Completions) != 1 || len(decisions) != 1 || decisions[0].Refused {
		t.Errorf("got report %+v and decisions %+v, want the completion and the end of the refusal", r, decisions)
	}
}

// Guards against LOST: only the node that completed a request knew that its trait is sound, and the
// others counted later crashes on.
func TestCompletionOfASuspectedTraitIsReported(t *testing.T) {
	var s, other Traits
	r, _ := s.RecordCrash(start, "a", []Trait{sharedTrait})
	other.Apply(start, r)
	completed, _ := s.RecordCompletion(start.Add(time.Second), []Trait{sharedTrait, otherTrait})
	if got := completed.Completions; len(got) != 1 || got[0].Trait != sharedTrait {
		t.Errorf("reported completions: got %+v, want the one of the suspected trait", got)
	}
	other.Apply(start.Add(time.Second), completed)
	now := crashServers(&other, start.Add(time.Second), traitCrashLimitOverall, sharedTrait)
	if isRefused(&other, now, sharedTrait) {
		t.Error("got the trait refused at another node shortly after the report")
	}
}

func TestTwoBadTraitsAtOnceAreBothRefused(t *testing.T) {
	var s Traits
	now := start
	for range traitCrashLimit {
		now = crashServers(&s, now, 1, badTrait)
		now = crashServers(&s, now, 1, otherTrait)
	}
	if !isRefused(&s, now, badTrait) || !isRefused(&s, now, otherTrait) {
		t.Errorf("refused: got %v and %v, want both", isRefused(&s, now, badTrait), isRefused(&s, now, otherTrait))
	}
}

// Guards against a trait that is refused for the ordinary death of servers: it explains only a
// few of many crashes.
func TestTraitThatExplainsFewOfManyCrashesNeedsMore(t *testing.T) {
	var s Traits
	now := start
	for range traitCrashLimit {
		now = crashServers(&s, now, 1, otherTrait)
		now = crashServers(&s, now, 3)
	}
	if isRefused(&s, now, otherTrait) {
		t.Errorf("got a trait refused that explains %d of %d crashes", traitCrashLimit, 4*traitCrashLimit)
	}
	now = crashServers(&s, now, traitCrashLimitOverall-traitCrashLimit, otherTrait)
	if !isRefused(&s, now, otherTrait) {
		t.Errorf("got a trait not refused after %d crashes without a completion", traitCrashLimitOverall)
	}
}

// A trait that has become bad is refused once no request with it has completed for a time.
func TestTraitThatBecomesBadIsRefused(t *testing.T) {
	var s Traits
	s.RecordCompletion(start, []Trait{badTrait})
	now := crashServers(&s, start, 20, badTrait)
	if isRefused(&s, now, badTrait) {
		t.Error("got a trait refused shortly after a completion")
	}
	now = crashServers(&s, start.Add(completionLifetime), traitCrashLimit, badTrait)
	if !isRefused(&s, now, badTrait) {
		t.Error("got a trait not refused that no longer completes")
	}
}

// After a refusal each node admits one request at a time, and a crash of one of them renews the
// refusal at all nodes for twice as long.
func TestRequestAfterARefusalRenewsIt(t *testing.T) {
	var s, other Traits
	now := crashServers(&s, start, traitCrashLimit, badTrait)
	other.Apply(now, s.Snapshot(now))
	_, remaining, refused := other.Refused(now, []Trait{badTrait})
	if !refused || remaining > 2*firstTraitRefusal {
		t.Fatalf("refused by a snapshot: got %v for %v, want true for %v at most", refused, remaining, 2*firstTraitRefusal)
	}
	now = now.Add(2 * firstTraitRefusal)
	if _, _, refused := s.Admit(now, []Trait{badTrait}); refused {
		t.Fatal("got the first request after the refusal refused")
	}
	if _, _, refused := s.Admit(now, []Trait{badTrait}); !refused {
		t.Error("got the second request after the refusal admitted")
	}
	r, _ := s.RecordCrash(now, "probed", []Trait{badTrait})
	other.Apply(now, r)
	for name, node := range map[string]*Traits{"node": &s, "other node": &other} {
		if _, remaining, refused := node.Refused(now.Add(2*firstTraitRefusal-1), []Trait{badTrait}); !refused {
			t.Errorf("%s: got the refusal after a further crash to remain for %v, want %v at least", name, remaining, 2*firstTraitRefusal)
		}
	}
}

// Two nodes that see different requests on the same servers come to the same result.
func TestReportsOfNodesJoin(t *testing.T) {
	var a, b Traits
	now := start
	b.RecordCompletion(now, []Trait{sharedTrait})
	for i := range traitCrashLimit {
		now = now.Add(betweenCrashes)
		server := domain.ServerID(fmt.Sprint(i))
		fromA, _ := a.RecordCrash(now, server, []Trait{badTrait, sharedTrait})
		fromB, _ := b.RecordCrash(now, server, []Trait{sharedTrait, Trait(100 + i)})
		_, answer, _ := b.Apply(now, fromA)
		a.Apply(now, fromB)
		a.Apply(now, answer)
	}
	for name, s := range map[string]*Traits{"a": &a, "b": &b} {
		if !isRefused(s, now, badTrait) || isRefused(s, now, sharedTrait) || isRefused(s, now, 100) {
			t.Errorf("%s: refused: got bad %v, shared %v, other %v, want true, false, false", name, isRefused(s, now, badTrait), isRefused(s, now, sharedTrait), isRefused(s, now, 100))
		}
	}
}

// A report is news once: what the owner passes on does not go round for ever.
func TestReportIsNewsOnce(t *testing.T) {
	var owner Traits
	r := TraitReport{
		Crashes:     []TraitCrash{{Server: "a", Traits: []Trait{badTrait}}},
		Completions: []TraitCompletion{{Trait: sharedTrait}},
		Refusals:    []TraitRefusal{{Trait: otherTrait, Number: 1, Remaining: time.Minute}},
	}
	for i, want := range []int{r.Len(), 0, 0} {
		news, answer, _ := owner.Apply(start.Add(time.Duration(i)*time.Millisecond), r)
		if got := news.Len(); got != want || answer.Len() != 0 {
			t.Errorf("time %d: got %d new entries and %d answers, want %d and none", i+1, got, answer.Len(), want)
		}
	}
}

func TestTraitsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s Traits
		traits := rapid.SliceOfN(rapid.Uint64(), 0, 2*maximumTraitsPerCrash).Draw(rt, "traits")
		list := make([]Trait, len(traits))
		for i, n := range traits {
			list[i] = Trait(n)
		}
		now := crashServers(&s, start, 2*maximumServerCrashes, list...)
		if got, want := len(s.crashes), maximumServerCrashes; got > want {
			rt.Fatalf("got %d crashes, want %d at most", got, want)
		}
		for _, k := range s.crashes {
			if len(k.traits) > maximumTraitsPerCrash || !slices.IsSorted(k.traits) {
				rt.Fatalf("got %d traits of a crash, sorted %v", len(k.traits), slices.IsSorted(k.traits))
			}
		}
		s.RecordCompletion(now, list)
	})
	var s Traits
	for i := range 2 * maximumTraitCompletions {
		s.RecordCompletion(start, []Trait{Trait(i)})
	}
	if got, want := len(s.completions), maximumTraitCompletions; got > want {
		t.Errorf("got %d completions, want %d at most", got, want)
	}
}
