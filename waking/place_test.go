package waking

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

func TestEvictionsHaveLowestExpectedReloadCost(t *testing.T) {
	got := ChooseEvictions([]EvictionCandidate{
		{Model: "soon", Size: 10, ColdStart: 10 * time.Second, ReuseProbability: .9},
		{Model: "cached", Size: 10, ColdStart: time.Second, ReuseProbability: .5},
		{Model: "never", Size: 10, ColdStart: 20 * time.Second, ReuseProbability: .01},
	}, 15)
	if want := []domain.ModelName{"never", "cached"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRankByExpectedReloadCost(t *testing.T) {
	c := []EvictionCandidate{
		{Model: "recent", Size: 1, IdleFor: time.Minute},
		{Model: "old", Size: 1, IdleFor: time.Hour},
		{Model: "needed", Size: 1, IdleFor: 2 * time.Hour, ReuseProbability: .5, ColdStart: time.Second},
	}
	got := RankForEviction(c)
	if want := []domain.ModelName{"old", "recent", "needed"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestPlacementPrefersCachedCheckpoint(t *testing.T) {
	got := RankServers([]Server{
		{ID: "remote", Free: 100, ColdStart: 20 * time.Second},
		{ID: "small", Free: 5, ColdStart: time.Second},
		{ID: "disk", Free: 5, IdleReplicas: []EvictionCandidate{{Model: "x", Size: 10, ColdStart: 4 * time.Second, ReuseProbability: .5}}, ColdStart: 5 * time.Second},
	}, PlacementRequest{Model: "m", Size: 10})
	if want := []domain.ServerID{"disk", "remote"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestPlacementFitsInMemory checks that the evictions chosen for each returned server free
// enough memory.
func TestPlacementFitsInMemory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var servers []Server
		for i := range rapid.IntRange(0, 6).Draw(r, "servers") {
			s := Server{ID: domain.ServerID(fmt.Sprint(i)), Free: domain.Bytes(rapid.Int64Range(0, 50).Draw(r, "free"))}
			for j := range rapid.IntRange(0, 5).Draw(r, "idle") {
				s.IdleReplicas = append(s.IdleReplicas, EvictionCandidate{
					Model:            domain.ModelName(fmt.Sprint(j)),
					Size:             domain.Bytes(rapid.Int64Range(0, 40).Draw(r, "size")),
					ReuseProbability: rapid.Float64Range(0, 1).Draw(r, "chance"),
				})
			}
			servers = append(servers, s)
		}
		request := PlacementRequest{Model: "m", Size: domain.Bytes(rapid.Int64Range(1, 100).Draw(r, "need"))}
		for _, id := range RankServers(servers, request) {
			s := servers[slices.IndexFunc(servers, func(s Server) bool { return s.ID == id })]
			free := s.Free
			evicted := ChooseEvictions(s.IdleReplicas, request.Size-s.Free)
			for _, c := range s.IdleReplicas {
				if slices.Contains(evicted, c.Model) {
					free += c.Size
				}
			}
			if free < request.Size {
				t.Errorf("server %s: got %d bytes free, want at least %d", id, free, request.Size)
			}
		}
	})
}

func TestNextLoadMeetsMostDeadlines(t *testing.T) {
	deadlineAfter := func(seconds int) domain.Deadline {
		return domain.Deadline{At: monday.Add(time.Duration(seconds) * time.Second)}
	}
	got := NextLoad([]QueuedLoad{
		{Model: "prewarm"},
		{Model: "late", Waiters: 100, TransferTime: 20 * time.Second, Deadline: deadlineAfter(10)},
		{Model: "large", Waiters: 8, TransferTime: 20 * time.Second, Deadline: deadlineAfter(60)},
		{Model: "small", Waiters: 5, TransferTime: 5 * time.Second, Deadline: deadlineAfter(60)},
	}, monday)
	if want := 3; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

func BenchmarkPlaceAndEvict(b *testing.B) {
	var servers []Server
	for i := range 10 {
		s := Server{ID: domain.ServerID(fmt.Sprint(i)), Free: 5, ColdStart: time.Duration(i) * time.Second}
		for j := range 3 {
			s.IdleReplicas = append(s.IdleReplicas, EvictionCandidate{Model: testModelName(j), Size: 10, ReuseProbability: .1 * float64(j), ColdStart: time.Second})
		}
		servers = append(servers, s)
	}
	for b.Loop() {
		RankServers(servers, PlacementRequest{Model: "m", Size: 12, Waiters: 3})
	}
}

// BenchmarkPlaceOnManyServers places a model on 4,000 servers with up to two idle replicas
// each.
func BenchmarkPlaceOnManyServers(b *testing.B) {
	var servers []Server
	for i := range 4000 {
		s := Server{ID: domain.ServerID(fmt.Sprintf("engine-%04d", i)), Free: domain.Bytes(i % 20), ColdStart: time.Duration(i%7) * time.Second}
		for j := range i % 3 {
			s.IdleReplicas = append(s.IdleReplicas, EvictionCandidate{Model: testModelName(i + j), Size: 10, ReuseProbability: .1 * float64(j), ColdStart: time.Second})
		}
		servers = append(servers, s)
	}
	for b.Loop() {
		RankServers(servers, PlacementRequest{Model: "m", Size: 12, Waiters: 3})
	}
}
