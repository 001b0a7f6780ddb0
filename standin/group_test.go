package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/service"
	"github.com/parsleylug/parsleylug/vmlist"
)

// fastOptions are options with times short enough for tests.
func fastOptions() Options {
	return Options{
		LoadTime:      20 * time.Millisecond,
		TokenInterval: time.Millisecond,
		RestartTime:   20 * time.Millisecond,
		VMListLag:     time.Millisecond,
	}
}

func startGroup(t *testing.T, o Options) *Group {
	t.Helper()
	g, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func address(url string) string { return strings.TrimPrefix(url, "http://") }

func injectFaults(t *testing.T, g *Group, faults string) {
	t.Helper()
	r, err := http.Post(g.ControlURL+"/Faults", "application/json", strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(r.Body)
		t.Fatalf("got %s %s for %s", r.Status, body, faults)
	}
}

func getObserved(t *testing.T, g *Group) Observed {
	t.Helper()
	r, err := http.Get(g.ControlURL + "/Observed")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var o Observed
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		t.Fatal(err)
	}
	return o
}

func sendOrder(t *testing.T, c *engine.Client, url string, o engine.Order) engine.OrderStatus {
	t.Helper()
	s, err := c.Order(t.Context(), address(url), o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func loadOrder(fence domain.Fence, model domain.ModelName) engine.Order {
	return engine.Order{Kind: engine.LoadModel, Fence: fence, Model: model, Version: "v1", Memory: 16 * domain.Gibibyte}
}

func newChat(id, text string) engine.ChatRequest {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, text)
	return engine.ChatRequest{
		RequestID: domain.RequestID(id), AttemptID: domain.AttemptID(id + "-1"), Model: "m",
		Timeout: 10 * time.Second, Body: []byte(body),
	}
}

func readAll(s engine.Stream) (string, error) {
	defer s.Close()
	var b bytes.Buffer
	for {
		token, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.WriteString(token.Text)
	}
}

func TestLoadChatAndResume(t *testing.T) {
	g := startGroup(t, fastOptions())
	var client engine.Client
	url := g.EngineURLs[0]
	if _, err := client.Chat(t.Context(), address(url), newChat("r0", "early")); !errors.Is(err, engine.ErrModelNotLoaded) {
		t.Errorf("got %v, want %v", err, engine.ErrModelNotLoaded)
	}
	if got, want := sendOrder(t, &client, url, loadOrder(1, "m")), engine.Done; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
	s, err := client.Chat(t.Context(), address(url), newChat("r1", "hymn 12 please"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := readAll(s)
	if want := "You asked: hymn 12 please"; got != want || err != nil {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
	resumed := newChat("r1", "hymn 12 please")
	resumed.ResumeIndex = 2
	if s, err = client.Chat(t.Context(), address(url), resumed); err != nil {
		t.Fatal(err)
	}
	if got, err := readAll(s); got != "hymn 12 please" || err != nil {
		t.Errorf("got %q, %v after a resume at token 2", got, err)
	}
	state, err := client.State(t.Context(), address(url))
	if err != nil || len(state.Replicas) != 1 || state.UsedMemory != 16*domain.Gibibyte {
		t.Errorf("got state %+v, %v", state, err)
	}
	o := getObserved(t, g)
	if got, want := o.Models["m"].MostLoaded, 1; got != want {
		t.Errorf("got most loaded %d, want %d", got, want)
	}
	if got, want := o.Requests["r1"], 2; got != want {
		t.Errorf("got %d runs of r1, want %d", got, want)
	}
	if _, ran := o.Requests["r0"]; ran {
		t.Error("got a run of r0, want none for a refused request")
	}
}

func TestBookingRunsRepeatedKeyEachTime(t *testing.T) {
	g := startGroup(t, fastOptions())
	var client service.Client
	call := service.Request{Method: "POST", Path: "/bookings", Body: []byte("{}"), RequestID: "r1", IdempotencyKey: "k1"}
	for range 2 {
		r, err := client.Do(t.Context(), address(g.ServiceURLs[0]), call)
		if err != nil || r.Status != http.StatusCreated {
			t.Fatalf("got %+v, %v", r, err)
		}
	}
	o := getObserved(t, g)
	if got, want := o.Commands["k1"], 2; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

func TestAnnouncedVMIsListed(t *testing.T) {
	g := startGroup(t, fastOptions())
	list := vmlist.Client{URL: g.VMListURL}
	v := vmlist.VM{ID: "n1", Kind: vmlist.Entry, Address: "127.0.0.1:1", Region: "brisbane", Zone: "brisbane-a"}
	if err := list.Announce(t.Context(), v); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Millisecond)
	vms, err := list.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(vms), 4; got != want {
		t.Errorf("got %d VMs, want %d: %+v", got, want, vms)
	}
	if err := list.Withdraw(context.Background(), "n1"); err != nil {
		t.Fatal(err)
	}
}
