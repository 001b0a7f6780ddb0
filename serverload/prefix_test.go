package serverload

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// prompt returns a request for a model whose prompt has parts of 500 tokens; the last is its own.
func prompt(m domain.ModelName, parts ...uint64) *Request {
	r := &Request{Service: testService, Prompt: domain.Tokens(500 * len(parts)), CacheTokens: 20_000, Prefixes: NewPrefixes(m, "")}
	r.Size = r.Prompt + 100
	for i, id := range parts {
		r.Prefixes.Add(id, 500, i == len(parts)-1)
	}
	return r
}

// cachedTokens returns what a table takes a server to have cached of a prompt.
func cachedTokens(t *Table, now time.Time, k Key, r *Request) domain.Tokens {
	return t.Cached(now, k, t.State(now, k, testService, 24), r)
}

// Guards against counting parts after one that is missing, and parts of another model or adapter.
func TestOnlyTheLeadingRunIsCached(t *testing.T) {
	var table Table
	table.RecordRead(start, 1, 24, prompt("m", 1, 2, 3))
	for _, c := range []struct {
		name string
		r    *Request
		want domain.Tokens
	}{
		{"the same beginning", prompt("m", 1, 2, 9), 1000}, {"the next turn of the session", prompt("m", 1, 2, 3, 4), 1500}, {"another first part", prompt("m", 7, 2, 3), 0},
		{"another order", prompt("m", 2, 1, 3), 0}, {"another model", prompt("n", 1, 2, 3), 0}, {"a part between", prompt("m", 1, 8, 2), 500},
	} {
		if got := cachedTokens(&table, start, 1, c.r); got != c.want {
			t.Errorf("%s: got %d tokens, want %d", c.name, got, c.want)
		}
	}
	adapter := prompt("m")
	adapter.Prefixes = NewPrefixes("m", "a")
	adapter.Prefixes.Add(1, 500, false)
	if got := cachedTokens(&table, start, 1, adapter); got != 0 {
		t.Errorf("another adapter: got %d tokens, want 0", got)
	}
	if got := cachedTokens(&table, start, 2, prompt("m", 1, 2, 3)); got != 0 {
		t.Errorf("another server, or another run of its process: got %d tokens, want 0", got)
	}
}

// Pattern: a server whose memory of 20,000 tokens reads other prompts. Guards against an estimate
// that never ends, and against one that forgets parts in use.
func TestPartsAreEvictedLeastRecentlyUsedFirst(t *testing.T) {
	var table Table
	now := start
	table.RecordRead(now, 1, 24, prompt("m", 1, 100))
	table.RecordRead(now, 1, 24, prompt("m", 2, 101))
	for i := range uint64(30) {
		now = now.Add(100 * time.Millisecond)
		table.RecordRead(now, 1, 24, prompt("m", 2, 1000+i))
	}
	if got, want := cachedTokens(&table, now, 1, prompt("m", 1, 5)), domain.Tokens(500); got != want {
		t.Errorf("after 18,000 more tokens: got %d tokens, want %d", got, want)
	}
	for i := range uint64(10) {
		now = now.Add(100 * time.Millisecond)
		table.RecordRead(now, 1, 24, prompt("m", 2, 2000+i))
	}
	if got, want := cachedTokens(&table, now, 1, prompt("m", 1, 5)), domain.Tokens(0); got != want {
		t.Errorf("part not used while 24,000 tokens were read: got %d tokens, want %d", got, want)
	}
	if got, want := cachedTokens(&table, now, 1, prompt("m", 2, 5)), domain.Tokens(500); got != want {
		t.Errorf("part in use: got %d tokens, want %d", got, want)
	}
	table.Send(now, 1, testService, 19_800)
	if got := cachedTokens(&table, now, 1, prompt("m", 2, 5)); got != 0 {
		t.Errorf("memory taken by running requests: got %d tokens, want 0", got)
	}
	if got := cachedTokens(&table, now.Add(maximumCacheAge+time.Second), 1, prompt("m", 2, 5)); got != 0 {
		t.Errorf("after a minute: got %d tokens, want 0", got)
	}
}

// Guards against memory that grows with the number of prompts: other parts are known of one server
// all the time, and the table keeps the newest.
func TestKnownPartsAreBounded(t *testing.T) {
	var table Table
	now := start
	for i := range uint64(10 * maximumCachedParts) {
		now = now.Add(20 * time.Millisecond)
		table.RecordRead(now, 1, 24, prompt("m", i, i))
	}
	if got, want := len(table.servers[1].cache.parts), maximumCachedParts; got > want {
		t.Errorf("parts: got %d, want %d at most", got, want)
	}
	table.RecordRead(now.Add(2*maximumCacheAge), 1, 24, prompt("m", 1, 1))
	if got, want := len(table.servers[1].cache.parts), 2; got != want {
		t.Errorf("parts after two minutes without any: got %d, want %d", got, want)
	}
}

// Pattern: other nodes send a server requests that this node does not see. Guards against parts that
// are taken for cached although those requests have evicted them.
func TestRequestsOfOtherNodesEvictParts(t *testing.T) {
	var table Table
	table.Record(start, 1, Report{Running: 20, Slots: 24, Pace: 1})
	table.RecordRead(start, 1, 24, prompt("m", 1, 2))
	if got, want := cachedTokens(&table, start.Add(100*time.Millisecond), 1, prompt("m", 1, 3)), domain.Tokens(500); got != want {
		t.Errorf("at once: got %d tokens, want %d", got, want)
	}
	if got := cachedTokens(&table, start.Add(4*time.Second), 1, prompt("m", 1, 3)); got != 0 {
		t.Errorf("after 4 s at 20 requests of 1.1 thousand tokens a second: got %d tokens, want 0", got)
	}
}

// Guards against knowledge that does not reach the other nodes, that goes in circles, or that has
// the parts that belong to one request alone.
func TestCachedPartsAreShared(t *testing.T) {
	var node, owner, other Table
	now := start
	node.RecordRead(now, 1, 24, prompt("m", 9, 9))
	if got := node.TakePrefixes(now, 10); len(got) != 0 {
		t.Errorf("where no server reports its pace: got %d parts, want none", len(got))
	}
	for _, table := range []*Table{&node, &owner, &other} {
		table.Record(now, 7, Report{Slots: 24, Pace: 1})
	}
	node.RecordRead(now, 1, 24, prompt("m", 1, 2, 3))
	own := node.TakePrefixes(now, 10)
	if got, want := len(own), 2; got != want {
		t.Errorf("parts for the owner: got %d, want %d without the request's own", got, want)
	}
	now = now.Add(200 * time.Millisecond)
	owner.ApplyPrefixes(now, own, true)
	other.ApplyPrefixes(now, owner.TakePrefixes(now, 10), false)
	if got, want := cachedTokens(&other, now, 1, prompt("m", 1, 2, 9)), domain.Tokens(1000); got != want {
		t.Errorf("at another node: got %d tokens, want %d", got, want)
	}
	other.RecordRead(now.Add(time.Second), 1, 24, prompt("m", 1, 2, 9))
	if got := other.TakePrefixes(now.Add(time.Second), 10); len(got) != 0 {
		t.Errorf("a part that was told a second ago: got %d messages, want none", len(got))
	}
	for i := range uint64(100) {
		node.RecordRead(now, 2, 24, prompt("m", 1000+i, 1))
	}
	list := node.TakePrefixes(now, 7)
	if got, want := len(list), 7; got != want {
		t.Fatalf("parts within the bound: got %d, want %d", got, want)
	}
	if newest := prompt("m", 1099, 1).Prefixes.list[0].Hash; list[0].Hash != newest {
		t.Error("the newest part is not the first")
	}
	owner.ApplyPrefixes(now, []SharedPrefix{{Server: 3, Hash: 1, Age: -time.Second}, {Server: 3, Hash: 2, Age: time.Hour}}, true)
	if owner.servers[3] != nil {
		t.Error("ages out of range: got parts, want none")
	}
}

// Pattern: a cached prefix at a busy server against a free server without it. Guards against a
// request that waits for its cache, and against one that reads anew what a server with room has.
func TestCacheIsWeighedAgainstTheLoad(t *testing.T) {
	for _, c := range []struct {
		running, want int
		description   string
	}{{4, 0, "with room"}, {14, 1, "more than half in use"}, {24, 1, "full"}} {
		var table Table
		var draw Draw
		table.Record(start, 0, Report{Running: c.running, Slots: 24, Pace: 1})
		table.Record(start, 1, Report{Running: 3, Slots: 24, Pace: 1})
		table.RecordRead(start, 0, 24, prompt("m", 1, 2, 3))
		r := prompt("m", 1, 2, 9)
		for i := range 2 {
			s := table.State(start, Key(i), testService, 24)
			cached := table.Cached(start, Key(i), s, r)
			candidate := Candidate{Index: i, Weight: 1, Estimate: table.Estimate(s, r, cached, 0), Cached: cached, MayPreferCache: s.MayPreferCache(r)}
			if !s.HasRoom(r) {
				candidate.Rank = 1
			}
			// The server without the cache is the one drawn.
			draw.Consider(&candidate, 0.9-0.8*float64(i))
		}
		if got, _, _ := draw.Choose(table.Saving(r)); got.Index != c.want {
			t.Errorf("server with the cache %s: got server %d, want %d", c.description, got.Index, c.want)
		}
	}
}

// Guards against nodes without knowledge that spread prompts of one beginning over all servers, and
// against beginnings that have one home.
func TestNodesAgreeOnTheHomeOfAPrompt(t *testing.T) {
	homes := map[int]int{}
	for part := range uint64(200) {
		a, b := prompt("m", part, 1), prompt("m", part, 2)
		home := 0
		for k := range 4 {
			if a.Prefixes.HomeOrder(Key(k)) != b.Prefixes.HomeOrder(Key(k)) {
				t.Fatal("two prompts with one beginning have different homes")
			}
			if a.Prefixes.HomeOrder(Key(k)) < a.Prefixes.HomeOrder(Key(home)) {
				home = k
			}
		}
		homes[home]++
	}
	for k := range 4 {
		if homes[k] < 25 || homes[k] > 90 {
			t.Errorf("homes of 200 beginnings: got %v, want about 50 for each of 4 servers", homes)
		}
	}
	own := prompt("m", 1)
	if got := own.Prefixes.HomeOrder(1); got != 0 {
		t.Errorf("home of a prompt without a shared part: got %d, want none", got)
	}
}
