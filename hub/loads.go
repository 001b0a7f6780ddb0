package hub

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/serverload"
)

const (
	// LoadBytes is the size of one server's load in a message at most, unless thousands of requests
	// run there.
	LoadBytes = 20
	// UpdateBytes is the size of an update without content and of the packet around it.
	UpdateBytes = 160
	// PrefixBytes is the size of a cached prompt part in a message at most.
	PrefixBytes = 15
	// maximumPrefixes bounds the cached prompt parts in one message.
	maximumPrefixes = 4096
	// maximumLoads bounds the loads of servers in one message.
	maximumLoads = 4096
	// maximumReportedRequests bounds the numbers of requests of a server.
	maximumReportedRequests = 1 << 20
	// maximumPacePercent bounds a pace, in percent of the usual time.
	maximumPacePercent = 5000
	// maximumPaceSamples bounds the samples of a learned pace.
	maximumPaceSamples = 1 << 16
	// percent is the unit of a pace in a message.
	percent = 100
)

// wireLoad is a serverload.Shared. Slots is 0 if it has no report.
type wireLoad struct {
	_                       struct{} `cbor:",toarray"`
	Server                  uint32
	Running, Waiting, Slots int
	PacePercent             int
	AgeMilliseconds         int64
	LearnedPercent, Samples int
}

func encodeLoads(list []serverload.Shared) []wireLoad {
	var w []wireLoad
	for _, s := range list {
		w = append(w, wireLoad{
			Server: uint32(s.Server), Running: s.Running, Waiting: s.Waiting, Slots: s.Slots, PacePercent: int(math.Round(percent * s.Pace)),
			AgeMilliseconds: s.Age.Milliseconds(), LearnedPercent: int(math.Round(percent * s.LearnedPace)), Samples: s.Samples,
		})
	}
	return w
}

// decodeLoads returns the loads that are in range, maximumLoads at most.
func decodeLoads(w []wireLoad) []serverload.Shared {
	var list []serverload.Shared
	for _, l := range w[:min(len(w), maximumLoads)] {
		if !l.isInRange() {
			continue
		}
		list = append(list, serverload.Shared{
			Server: serverload.Key(l.Server), Age: time.Duration(l.AgeMilliseconds) * time.Millisecond,
			Report:      serverload.Report{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: float64(l.PacePercent) / percent},
			LearnedPace: float64(l.LearnedPercent) / percent, Samples: l.Samples,
		})
	}
	return list
}

// isInRange reports whether the numbers of a load are possible.
func (l *wireLoad) isInRange() bool {
	for _, n := range []int{l.Running, l.Waiting, l.Slots} {
		if n < 0 || n > maximumReportedRequests {
			return false
		}
	}
	for _, p := range []int{l.PacePercent, l.LearnedPercent} {
		if p < 0 || p > maximumPacePercent {
			return false
		}
	}
	return l.Samples >= 0 && l.Samples <= maximumPaceSamples && (l.Samples == 0 || l.LearnedPercent > 0) &&
		l.AgeMilliseconds >= 0 && l.AgeMilliseconds <= maximumAge.Milliseconds()
}

// wirePrefix is a serverload.SharedPrefix.
type wirePrefix struct {
	_               struct{} `cbor:",toarray"`
	Server, Hash    uint32
	AgeMilliseconds int64
}

func encodePrefixes(list []serverload.SharedPrefix) []wirePrefix {
	var w []wirePrefix
	for _, p := range list {
		w = append(w, wirePrefix{Server: uint32(p.Server), Hash: uint32(p.Hash), AgeMilliseconds: p.Age.Milliseconds()})
	}
	return w
}

// decodePrefixes returns the cached prompt parts whose ages are in range, maximumPrefixes at most.
func decodePrefixes(w []wirePrefix) []serverload.SharedPrefix {
	var list []serverload.SharedPrefix
	for _, p := range w[:min(len(w), maximumPrefixes)] {
		if age, ok := decodeAge(p.AgeMilliseconds); ok {
			list = append(list, serverload.SharedPrefix{Server: serverload.Key(p.Server), Hash: serverload.PrefixHash(p.Hash), Age: age})
		}
	}
	return list
}

// mergedPrefixes returns the cached prompt parts of two updates, the latest ones if they are too many
// for one message. It does not change list.
func mergedPrefixes(list, next []serverload.SharedPrefix) []serverload.SharedPrefix {
	if len(list) == 0 {
		return next
	}
	merged := append(append([]serverload.SharedPrefix{}, next...), list...)
	return merged[:min(len(merged), maximumPrefixes)]
}

// mergedLoads returns the loads with the effect of list and then of next: the later one of each
// server. It does not change list.
func mergedLoads(list, next []serverload.Shared) []serverload.Shared {
	if len(list) == 0 {
		return next
	}
	position := make(map[serverload.Key]int, len(list)+len(next))
	merged := make([]serverload.Shared, 0, len(list)+len(next))
	for _, part := range [][]serverload.Shared{list, next} {
		for _, s := range part {
			if i, ok := position[s.Server]; ok {
				merged[i] = s
				continue
			}
			position[s.Server] = len(merged)
			merged = append(merged, s)
		}
	}
	return merged
}
