package standin

import (
	"context"
	"math/rand/v2"
	"os"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
)

// TestObservedMatchesEngineState runs orders, requests, crashes and blackholed connections
// concurrently at random. Once the engines are idle, the observed replicas and memory must
// equal those that the engines report.
func TestObservedMatchesEngineState(t *testing.T) {
	o := fastOptions()
	o.Engines = 4
	o.LoadTime = 5 * time.Millisecond
	g := startGroup(t, o)
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() { runRandomOperations(t, g, rand.New(rand.NewPCG(7, uint64(i)))) })
	}
	clients.Wait()
	var client engine.Client
	loaded := make(map[string]int)
	for _, url := range g.EngineURLs {
		var state engine.State
		waitFor(t, "an idle engine", func() bool {
			var err error
			state, err = client.State(t.Context(), address(url))
			return err == nil && isIdle(state)
		})
		seen := getObserved(t, g).Engines[url]
		if got, want := seen.UsedMemory, int64(state.UsedMemory); got != want {
			t.Errorf("%s: got %d bytes in use, the engine reports %d", url, got, want)
		}
		if got, want := len(seen.Replicas), len(state.Replicas); got != want {
			t.Errorf("%s: got %d replicas, the engine reports %d", url, got, want)
		}
		for _, r := range state.Replicas {
			loaded[string(r.Model)]++
		}
	}
	for name, m := range getObserved(t, g).Models {
		if m.Loaded != loaded[name] || m.MostLoaded < m.Loaded || m.MostLoaded > o.Engines {
			t.Errorf("%s: got %+v, the engines report %d", name, m, loaded[name])
		}
	}
}

func isIdle(s engine.State) bool {
	for _, r := range s.Replicas {
		if r.Loading || r.Running > 0 || r.Waiting > 0 {
			return false
		}
	}
	return true
}

// runRandomOperations ignores errors: lost connections and refused orders are expected.
func runRandomOperations(t *testing.T, g *Group, random *rand.Rand) {
	client := engine.Client{IdleTimeout: 30 * time.Millisecond}
	models := []domain.ModelName{"m", "n"}
	for range 25 {
		url := g.EngineURLs[random.IntN(len(g.EngineURLs))]
		model := models[random.IntN(len(models))]
		switch random.IntN(8) {
		case 0, 1:
			sendOrderIgnoringErrors(t, url, loadOrder(1, model))
		case 2:
			sendOrderIgnoringErrors(t, url, engine.Order{Kind: engine.UnloadModel, Fence: 1, Model: model})
		case 3:
			sendOrderIgnoringErrors(t, url, engine.Order{Kind: engine.LoadAdapter, Fence: 1, Model: model, Adapter: "a", Memory: 9})
		case 4:
			crash := random.IntN(3) == 0
			g.Inject(Faults{Engines: []EngineFaults{{Engine: url, Crash: crash, SilentConnections: !crash}}})
		default:
			if s, err := client.Chat(t.Context(), address(url), newChat("r", "one two three")); err == nil {
				readAll(s)
			}
		}
	}
}

// sendOrderIgnoringErrors sends an order with a deadline, because a blackholed connection
// delivers no response.
func sendOrderIgnoringErrors(t *testing.T, url string, o engine.Order) {
	var client engine.Client
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	client.Order(ctx, address(url), o)
}

func TestDocumentedFaultsAreAccepted(t *testing.T) {
	page, err := os.ReadFile("../docs/operating/standins.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := regexp.MustCompile(`(?m)^\|.*$`).FindAll(page, -1)
	var found int
	for _, row := range rows {
		for _, body := range regexp.MustCompile("`({[^`]*})`").FindAllSubmatch(row, -1) {
			found++
			g := startGroup(t, fastOptions())
			injectFaults(t, g, string(body[1]))
		}
	}
	if found < 21 {
		t.Errorf("got %d documented faults, want at least 21", found)
	}
}
