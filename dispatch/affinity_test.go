package dispatch

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// promptRequest returns a request with two shared parts and one of its own.
func promptRequest(own uint64) *Request {
	return &Request{Model: "m", Size: RequestSize{Known: true, Prompt: 1000, MaximumOutput: 100}, PromptParts: []PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 300}, {ID: own, Tokens: 200}}}
}

// Pattern: another node has sent a prompt with the same beginning to a server, which is then nearly
// idle, half in use or full. Guards against a prompt that is read anew beside room at the server
// that has it, and against a cache that overrides the load, an avoided server or the rank.
func TestCacheYieldsToCapacity(t *testing.T) {
	for _, c := range []struct {
		running       int
		avoided       bool
		least, atMost int
		description   string
	}{{3, false, 400, 400, "with room"}, {13, false, 1, 260, "in use to more than a half"}, {24, false, 0, 0, "full"}, {3, true, 0, 0, "avoided"}} {
		now, list := time.Now(), pacedServers(3)
		node, owner, other := newTestDispatcher(&fakeBackend{}), newTestDispatcher(&fakeBackend{}), newTestDispatcher(&fakeBackend{})
		for i, s := range list {
			l := Load{Known: true, Running: 3, Slots: 24, Pace: 1}
			if i == 1 {
				l.Running = c.running
			}
			other.chooser.recordResponse(now, s, &Request{}, time.Millisecond, l)
			owner.chooser.recordResponse(now, s, &Request{}, time.Millisecond, l)
		}
		node.chooser.recordResponse(now, list[1], promptRequest(7), 80*time.Millisecond, Load{Known: true, Running: c.running, Slots: 24, Pace: 1})
		owner.ApplyPrefixes(now, node.TakePrefixes(now, 10), true)
		other.ApplyPrefixes(now, owner.TakePrefixes(now, 10), false)
		avoided := map[domain.ServerID]bool{"i1": c.avoided}
		if got := choices(&other.chooser, now, list, promptRequest(8), avoided)["i1"]; got < c.least || got > c.atMost {
			t.Errorf("server with the cache %s: got %d of 400 requests, want %d to %d", c.description, got, c.least, c.atMost)
		}
	}
}

// cacheCounter is a CacheCounters.
type cacheCounter struct {
	tokens  domain.Tokens
	byCache int
}

func (c *cacheCounter) CountCachedTokens(tokens domain.Tokens, isByCache bool) {
	c.tokens += tokens
	if isByCache {
		c.byCache++
	}
}

// Guards against counts of saved tokens that miss attempts, or that have attempts without a response.
func TestCachedTokensAreCounted(t *testing.T) {
	now, list, counter := time.Now(), pacedServers(2), &cacheCounter{}
	d := newTestDispatcher(&fakeBackend{})
	d.CacheCounters = counter
	d.chooser.recordResponse(now, list[0], promptRequest(7), 80*time.Millisecond, Load{Known: true, Running: 1, Slots: 24, Pace: 1})
	d.chooser.recordResponse(now, list[1], &Request{}, 80*time.Millisecond, Load{Known: true, Running: 1, Slots: 24, Pace: 1})
	for own := range uint64(50) {
		r := promptRequest(100 + own)
		s, inputs := d.chooser.choose(now, location{zone: "z"}, list, r, nil)
		d.chooser.release(s, r)
		d.countCache(&attempt{server: s, inputs: inputs})
	}
	if got, want := counter.tokens, domain.Tokens(50*800); got != want {
		t.Errorf("cached tokens of 50 requests with 800 shared ones: got %d, want %d", got, want)
	}
	if counter.byCache == 0 || counter.byCache == 50 {
		t.Errorf("requests chosen by cache: got %d of 50, want those for which the other server was drawn", counter.byCache)
	}
	d.countCache(&attempt{server: &fleet.Server{}})
	if got, want := counter.tokens, domain.Tokens(50*800); got != want {
		t.Errorf("after an attempt without a cache: got %d, want %d", got, want)
	}
}
