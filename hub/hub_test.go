package hub

import (
	"bytes"
	"context"
	"net"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/suspects"
)

var testTraits = suspects.TraitReport{
	Crashes:     []suspects.TraitCrash{{Server: "i", Age: 70 * time.Millisecond, Traits: []suspects.Trait{1, 1 << 63}, Ran: []time.Duration{time.Second, 0}}},
	Completions: []suspects.TraitCompletion{{Trait: 2, Age: time.Second}},
	Refusals:    []suspects.TraitRefusal{{Trait: 3, Number: 2, Remaining: 10 * time.Minute}},
}

var testContents = []suspects.ContentRecord{{Content: suspects.Content{3}, Crashes: []suspects.ContentCrash{{Server: "i", Age: time.Second, AfterToken: true}, {Server: "k", Isolated: true}}}}

var testReport = Report{
	Node:           "n",
	Demands:        []placement.Demand{{ModelKey: placement.ModelKey{Service: "s", Model: "m", Adapter: "a"}, Waiting: 1, Running: 2, Arrivals: 3, LateResponses: 4}},
	CrashReports:   []suspects.Report{{Content: suspects.Content{1, 2}, Crashes: 2, Server: "i", AfterToken: true, Age: 1200 * time.Millisecond}},
	StaleServers:   []domain.ServerID{"i"},
	LeavingServers: []LeavingServer{{Incarnation: fleet.Incarnation{ID: "i", StartedAtMs: 5}, Age: 1500 * time.Millisecond}},
	Traits:         testTraits,
	Contents:       testContents,
	StoreFailure:   StoreFailure{Known: true, Age: 300 * time.Millisecond},
}

var testUpdate = Update{
	NodeCount: 3,
	Traits:    testTraits,
	Contents:  testContents,
	// The failure is that of this moment.
	StoreFailure: StoreFailure{Known: true},
	Store:        StoreUpdate{ConfigurationOffset: 7, RegistrationsOffset: 9, RegistrationsRead: true},
	Servers: []ServerState{{ID: "i", EngineState: fleet.EngineState{
		StartedAtMs: 5, Sequence: 6, Busy: true,
		Models: []fleet.LoadedModel{{Model: "m", Adapters: []domain.AdapterName{"a"}}},
	}}},
}

func TestMessagesRoundTripThroughEncoding(t *testing.T) {
	data, err := encodeReport(testReport)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeReport(data)
	if err != nil || !reflect.DeepEqual(got, testReport) {
		t.Errorf("got %+v and %v, want %+v", got, err, testReport)
	}
	data, err = encodeUpdate(testUpdate)
	if err != nil {
		t.Fatal(err)
	}
	u, err := decodeUpdate(data)
	if err != nil || !reflect.DeepEqual(u, testUpdate) {
		t.Errorf("got %+v and %v, want %+v", u, err, testUpdate)
	}
}

func FuzzMessages(f *testing.F) {
	report, _ := encodeReport(testReport)
	update, _ := encodeUpdate(testUpdate)
	f.Add(report)
	f.Add(update)
	f.Add(bytes.Repeat([]byte{0x81}, 1000))
	f.Add(append([]byte{0xa1, 0x67}, "Servers\x81\x85\x61\xff\x20\x1b\xff\xff\xff\xff\xff\xff\xff\xff\xf4\xf6"...))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, _ := decodeReport(data)
		for _, d := range r.Demands {
			if d.Waiting < 0 || d.Running < 0 || d.Arrivals < 0 || d.LateResponses < 0 {
				t.Fatalf("decoded a negative demand: %+v", d)
			}
		}
		u, _ := decodeUpdate(data)
		for _, s := range u.Servers {
			if s.ID == "" || s.EngineState.StartedAtMs < 0 {
				t.Fatalf("decoded an engine state out of range: %+v", s)
			}
		}
	})
}

// startHub starts a hub and returns it with its address, the channel of the
// reports that it receives and the flag that makes it the owner's hub.
func startHub(t *testing.T) (*Hub, string, chan Report, *atomic.Bool) {
	t.Helper()
	reports := make(chan Report, 9)
	var owner atomic.Bool
	owner.Store(true)
	h := &Hub{
		OnReport:      func(r Report) { reports <- r },
		AcceptsLinks:  owner.Load,
		InitialUpdate: func(start func(Update)) { start(testUpdate) },
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	t.Cleanup(h.Close)
	return h, strings.TrimPrefix(s.URL, "http://"), reports, &owner
}

func TestLinkCarriesReportsAndUpdates(t *testing.T) {
	h, address, reports, _ := startHub(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	l, err := Dial(ctx, &net.Dialer{}, address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if got, err := l.Receive(ctx); err != nil || !reflect.DeepEqual(got, testUpdate) {
		t.Errorf("first update: got %+v and %v, want %+v", got, err, testUpdate)
	}
	if err := l.Send(ctx, testReport); err != nil {
		t.Fatal(err)
	}
	if got := <-reports; !reflect.DeepEqual(got, testReport) {
		t.Errorf("got %+v, want %+v", got, testReport)
	}
	if err := h.Broadcast(Update{NodeCount: 9}); err != nil {
		t.Fatal(err)
	}
	if got, err := l.Receive(ctx); err != nil || got.NodeCount != 9 {
		t.Errorf("got %+v and %v, want 9 nodes", got, err)
	}
	h.Close()
	if _, err := l.Receive(ctx); err == nil {
		t.Error("the link is still open after the hub was closed")
	}
}

// Guards against links of nobody that count as those of nodes.
func TestFirstReportOfEachLinkIsTold(t *testing.T) {
	h, address, reports, _ := startHub(t)
	var firstReports atomic.Int64
	h.OnFirstReport = func(context.Context) { firstReports.Add(1) }
	for links := range int64(2) {
		l, err := Dial(t.Context(), &net.Dialer{}, address)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if got := firstReports.Load(); got != links {
			t.Errorf("got %d first reports before that of link %d, want %d", got, links, links)
		}
		for range 2 {
			if err := l.Send(t.Context(), Report{Node: "n1"}); err != nil {
				t.Fatal(err)
			}
			<-reports
		}
		if got := firstReports.Load(); got != links+1 {
			t.Errorf("got %d first reports after those of link %d, want %d", got, links, links+1)
		}
	}
}

// Guards against reports without end that take the memory of the node.
func TestReportsWithoutEndAreBoundedTogether(t *testing.T) {
	h, address, reports, _ := startHub(t)
	h.Reports.Size, h.Reports.Free = 256<<10, 16<<10
	for range 8 {
		l, err := Dial(t.Context(), &net.Dialer{}, address)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			// The hub stops to read when there is no memory left.
			w, err := l.conn.Writer(t.Context(), websocket.MessageBinary)
			for part := make([]byte, 16<<10); err == nil; {
				_, err = w.Write(part)
			}
		}()
	}
	for h.Reports.Used() == 0 {
		time.Sleep(time.Millisecond)
	}
	sound, err := Dial(t.Context(), &net.Dialer{}, address)
	if err != nil {
		t.Fatal(err)
	}
	defer sound.Close()
	if err := sound.Send(t.Context(), Report{Node: "sound"}); err != nil {
		t.Fatal(err)
	}
	if got := <-reports; got.Node != "sound" {
		t.Errorf("got a report of %q, want one of sound", got.Node)
	}
	// One message may be larger than the pool, so that it can end.
	if got := h.Reports.Used(); got > maximumMessageBytes+h.Reports.Size {
		t.Errorf("got %d bytes of reports, want at most %d", got, maximumMessageBytes+h.Reports.Size)
	}
}

func TestOnlyTheOwnerAcceptsLinks(t *testing.T) {
	_, address, _, owner := startHub(t)
	owner.Store(false)
	if l, err := Dial(t.Context(), &net.Dialer{}, address); err == nil {
		l.Close()
		t.Error("a node that is not the owner accepted a link")
	}
}
