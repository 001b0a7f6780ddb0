package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/engine"
)

func TestPrefixCacheEvictsLeastRecentlyUsedBlocks(t *testing.T) {
	var c prefixCache
	var all []uint64
	for i := range prefixCacheBlocks {
		all = append(all, blockHashes("m", "", fmt.Sprintf("%0*d", prefixBlockBytes, i))...)
	}
	if stored, evicted := c.touch("m", all); len(stored) != prefixCacheBlocks || len(evicted) != 0 {
		t.Fatalf("got %d stored, %d evicted", len(stored), len(evicted))
	}
	c.touch("m", all[:1])
	_, evicted := c.touch("n", []uint64{1})
	if want := all[1:2]; !slices.Equal(evicted, want) {
		t.Errorf("got %v evicted, want %v", evicted, want)
	}
	c.evictModel("m")
	if got, want := c.recency.Len(), 1; got != want {
		t.Errorf("got %d blocks, want %d", got, want)
	}
}

func TestBlockHashesShareAPrefix(t *testing.T) {
	common := strings.Repeat("x", 2*prefixBlockBytes)
	a, b := blockHashes("m", "", common+strings.Repeat("a", prefixBlockBytes)), blockHashes("m", "", common+strings.Repeat("b", prefixBlockBytes))
	if len(a) != 3 || !slices.Equal(a[:2], b[:2]) || a[2] == b[2] {
		t.Errorf("got %x and %x", a, b)
	}
	if other := blockHashes("m", "adapter", common); other[0] == a[0] {
		t.Error("an adapter has the same hashes as its model")
	}
}

func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	var c cacheEventLog
	now := time.Now()
	for i := range 5 {
		c.add(wireCacheEvent{Model: "m"}, i == 1, now.Add(time.Duration(i)*time.Second))
	}
	p := c.page(1, now.Add(3*time.Second))
	var got []uint64
	for _, e := range p.Events {
		got = append(got, e.Sequence)
	}
	if want := []uint64{1, 3, 4}; !slices.Equal(got, want) || p.Next != 5 {
		t.Errorf("got events %v, next %d, want %v, next 5", got, p.Next, want)
	}
	if p = c.page(5, now.Add(3*time.Second)); len(p.Events) != 0 || p.Next != 5 {
		t.Errorf("got %+v, want nothing yet", p)
	}
}

func TestCacheEventsOfAnEngine(t *testing.T) {
	g, url := startWithModel(t, fastOptions())
	var client engine.Client
	for range 2 {
		s, err := client.Chat(t.Context(), address(url), newChat("r", strings.Repeat("verse ", 100)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readAll(s); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "the unload", func() bool {
		return sendOrder(t, &client, url, engine.Order{Kind: engine.UnloadModel, Fence: 5, Model: "m"}) == engine.Done
	})
	r, err := http.Get(g.EngineURLs[0] + "/cache-events")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var page wireCacheEvents
	if err := json.NewDecoder(r.Body).Decode(&page); err != nil {
		t.Fatal(err)
	}
	if len(page.Events) != 2 || len(page.Events[0].Stored) != 2 || !page.Events[1].Cleared || page.Next != 3 {
		t.Errorf("got %+v, want one event that stores 2 blocks and one that clears", page)
	}
}
