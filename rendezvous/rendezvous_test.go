package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/parsleylug/parsleylug/domain"
)

func nodes(n int) []domain.NodeID {
	var result []domain.NodeID
	for i := range n {
		result = append(result, domain.NodeID(fmt.Sprintf("node-%d", i)))
	}
	return result
}

func TestRankIgnoresOrderOfNodes(t *testing.T) {
	forward := nodes(20)
	backward := slices.Clone(forward)
	slices.Reverse(backward)
	got, want := Rank("m", backward), Rank("m", forward)
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	first, ok := First("m", backward)
	if !ok || first != want[0] {
		t.Errorf("got first %v %v, want %v", first, ok, want[0])
	}
}

func TestFirstOfNoNodes(t *testing.T) {
	if got, ok := First("m", nil); ok {
		t.Errorf("got %v, want none", got)
	}
}

func TestOnlyKeysOfTheLostNodeMove(t *testing.T) {
	all := nodes(16)
	lost := all[5]
	rest := slices.Delete(slices.Clone(all), 5, 6)
	const keys = 4000
	moved := 0
	for i := range keys {
		key := fmt.Sprint(i)
		before, _ := First(key, all)
		after, _ := First(key, rest)
		if before == after {
			continue
		}
		moved++
		if before != lost {
			t.Fatalf("key %s moved from %s, which is still there", key, before)
		}
		if want := Rank(key, all)[1]; after != want {
			t.Fatalf("key %s: got %s, want the second in rank, %s", key, after, want)
		}
	}
	if want := keys / 16; moved < want/2 || moved > want*2 {
		t.Errorf("got %d keys moved, want about %d", moved, want)
	}
}

func TestFirstDoesNotAllocate(t *testing.T) {
	all := nodes(160)
	if got := testing.AllocsPerRun(100, func() { First("model", all) }); got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}
