package standin

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/service"
	"github.com/parsleylug/parsleylug/verdict"
)

// startWithModel starts stand-ins and loads model m on the first engine.
func startWithModel(t *testing.T, o Options) (*Group, string) {
	t.Helper()
	g := startGroup(t, o)
	var client engine.Client
	url := g.EngineURLs[0]
	if got, want := sendOrder(t, &client, url, loadOrder(5, "m")), engine.Done; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
	return g, url
}

// startStream sends a chat request and reads the first token of its response.
func startStream(t *testing.T, c *engine.Client, url, id, text string) engine.Stream {
	t.Helper()
	s, err := c.Chat(t.Context(), address(url), newChat(id, text))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSilentConnectionsDropDataWhileNewOnesWork(t *testing.T) {
	g, url := startWithModel(t, fastOptions())
	client := engine.Client{IdleTimeout: 50 * time.Millisecond}
	s := startStream(t, &client, url, "r1", strings.Repeat("word ", 500))
	injectFaults(t, g, `{"Engines":[{"Engine":"`+url+`","SilentConnections":true}]}`)
	_, err := readAll(s)
	if !errors.Is(err, engine.ErrIdleTimeout) || verdict.Of(err).Verdict != verdict.Ran {
		t.Errorf("got %v, want ErrIdleTimeout with the verdict Ran", err)
	}
	again, err := client.Chat(t.Context(), address(url), newChat("r2", "still there"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := readAll(again); got != "You asked: still there" || err != nil {
		t.Errorf("got %q, %v on a new connection", got, err)
	}
}

func TestCrashLosesReplicasAndStartsNewIncarnation(t *testing.T) {
	o := fastOptions()
	o.RestartTime = 150 * time.Millisecond
	g, url := startWithModel(t, o)
	var client engine.Client
	before, err := client.State(t.Context(), address(url))
	if err != nil {
		t.Fatal(err)
	}
	s := startStream(t, &client, url, "r1", strings.Repeat("word ", 500))
	injectFaults(t, g, `{"Engines":[{"Engine":"`+url+`","Crash":true}]}`)
	if _, err := readAll(s); verdict.Of(err).Verdict != verdict.Ran || verdict.Of(err).Reason != verdict.StreamBroken {
		t.Errorf("got %v, want StreamBroken with the verdict Ran", err)
	}
	if _, err := client.Chat(t.Context(), address(url), newChat("r2", "x")); verdict.Of(err).Verdict != verdict.NotRun {
		t.Errorf("got %v while the engine is down, want NotRun", err)
	}
	seen := getObserved(t, g)
	if e := seen.Engines[url]; e.Crashes != 1 || e.UsedMemory != 0 || seen.Models["m"].Loaded != 0 {
		t.Errorf("got %+v after the crash", seen)
	}
	var after engine.State
	waitFor(t, "the restart", func() bool {
		after, err = client.State(t.Context(), address(url))
		return err == nil
	})
	if after.Incarnation == before.Incarnation || len(after.Replicas) != 0 {
		t.Errorf("got %+v after %+v", after, before)
	}
	if got, want := sendOrder(t, &client, url, loadOrder(4, "m")), engine.RefusedStale; got != want {
		t.Errorf("got %v for a fencing token older than the newest before the crash, want %v", got, want)
	}
}

func TestPoisonPromptCrashesTheEngine(t *testing.T) {
	g, url := startWithModel(t, fastOptions())
	injectFaults(t, g, `{"Engines":[{"Engine":"`+url+`","PoisonPrompt":"deadly"}]}`)
	var client engine.Client
	s, err := client.Chat(t.Context(), address(url), newChat("r1", "a deadly verse"))
	if err == nil {
		_, err = readAll(s)
	}
	if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; got != want {
		t.Errorf("got %v (%v), want %v", got, err, want)
	}
	waitFor(t, "the crash", func() bool { return getObserved(t, g).Engines[url].Crashes == 1 })
}

func TestPausedEngineExecutesOrdersAfterResume(t *testing.T) {
	g := startGroup(t, fastOptions())
	url := g.EngineURLs[0]
	injectFaults(t, g, `{"Engines":[{"Engine":"`+url+`","Paused":true}]}`)
	var client engine.Client
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if status, err := client.Order(ctx, address(url), loadOrder(1, "m")); status != engine.Unclear || err == nil {
		t.Errorf("got %v, %v from a paused engine", status, err)
	}
	if got := getObserved(t, g).Models["m"].Loaded; got != 0 {
		t.Errorf("got %d loaded while paused", got)
	}
	injectFaults(t, g, `{"Engines":[{"Engine":"`+url+`","Paused":false}]}`)
	waitFor(t, "the order to take effect", func() bool { return getObserved(t, g).Models["m"].Loaded == 1 })
}

func TestCommandWithLateOrLostResponseHasRun(t *testing.T) {
	for _, fault := range []string{`"DelayMilliseconds":60000`, `"LoseAnswers":1`} {
		g := startGroup(t, fastOptions())
		injectFaults(t, g, `{"Services":[{"Service":"service-1",`+fault+`}]}`)
		var client service.Client
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := client.Do(ctx, address(g.ServiceURLs[0]), service.Request{Method: "POST", Path: "/bookings", IdempotencyKey: "k"})
		if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; got != want {
			t.Errorf("%s: got %v (%v), want %v", fault, got, err, want)
		}
		if got, want := getObserved(t, g).Commands["k"], 1; got != want {
			t.Errorf("%s: got %d runs, want %d", fault, got, want)
		}
	}
}

func TestCrossRegionBytesAreCounted(t *testing.T) {
	g, url := startWithModel(t, fastOptions())
	near := engine.Client{Region: "brisbane"}
	sendOrder(t, &near, url, engine.Order{Kind: engine.Barrier, Fence: 6})
	if got := getObserved(t, g).CrossRegionBytes; got != 0 {
		t.Errorf("got %d bytes from the same region", got)
	}
	far := engine.Client{Region: "townsville"}
	sendOrder(t, &far, url, engine.Order{Kind: engine.Barrier, Fence: 6})
	if got := getObserved(t, g).CrossRegionBytes; got == 0 {
		t.Error("got no bytes from another region")
	}
}

func TestReclaimedVMRefusesConnections(t *testing.T) {
	g, url := startWithModel(t, fastOptions())
	injectFaults(t, g, `{"VMs":[{"ID":"engine-1","Leaving":true}]}`)
	injectFaults(t, g, `{"VMs":[{"ID":"engine-1","Reclaimed":true}]}`)
	var client engine.Client
	if _, err := client.State(t.Context(), address(url)); verdict.Of(err).Verdict != verdict.NotRun {
		t.Errorf("got %v, want a refused connection", err)
	}
	if got := getObserved(t, g).Models["m"].Loaded; got != 0 {
		t.Errorf("got %d loaded", got)
	}
}

func TestAdapterIsLoadedOnItsModel(t *testing.T) {
	g, url := startWithModel(t, fastOptions())
	var client engine.Client
	r := newChat("r1", "verse")
	r.Adapter = "deacon"
	if _, err := client.Chat(t.Context(), address(url), r); !errors.Is(err, engine.ErrAdapterNotLoaded) {
		t.Errorf("got %v, want %v", err, engine.ErrAdapterNotLoaded)
	}
	adapter := engine.Order{Kind: engine.LoadAdapter, Fence: 5, Model: "m", Adapter: "deacon", Memory: domain.Gibibyte}
	if got, want := sendOrder(t, &client, url, adapter), engine.Done; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
	s, err := client.Chat(t.Context(), address(url), r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readAll(s); err != nil {
		t.Error(err)
	}
	if got, want := getObserved(t, g).Engines[url].UsedMemory, int64(17*domain.Gibibyte); got != want {
		t.Errorf("got %d bytes in use, want %d", got, want)
	}
}

func TestInvalidFaultsChangeNothing(t *testing.T) {
	g := startGroup(t, fastOptions())
	for _, faults := range []string{
		`{"Log":{"Down":true},"Engines":[{"Engine":"nobody"}]}`,
		`{"Log":{"Down":true,"Upside":true}}`,
		`{"Log":{"Down":true,"LoseAnswers":2}}`,
		`{"Log":{"Down":true}} {}`,
	} {
		r, err := http.Post(g.ControlURL+"/Faults", "application/json", strings.NewReader(faults))
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if r.StatusCode/100 != 4 {
			t.Errorf("got %s for %s", r.Status, faults)
		}
	}
	if faults, _ := g.log.currentFaults(); faults.down {
		t.Error("the log is down after rejected faults")
	}
}
