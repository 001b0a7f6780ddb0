package hub

import (
	"bytes"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleylug/parsleylug/quota"
)

var testUses = quota.Report{Joins: true, Uses: []quota.Use{
	{Workspace: "w", Used: 1200, Refunded: 300, Share: -25.5, Asks: []quota.Ask{{ID: 7, Amount: 512}}},
}}

var testGrants = quota.Update{
	Nodes: 87, Rejoins: true, Levels: []quota.Level{{Workspace: "w", Amount: -2700, Free: true}, {Workspace: "x", Amount: 5, Calm: true}},
	Answers: []quota.Answer{{ID: 7, Granted: true}, {ID: 8, Unknown: true, RetryAfter: 250 * time.Millisecond}},
}

// Guards against a field of the messages about quotas that is lost on the way.
func TestQuotaMessagesRoundTrip(t *testing.T) {
	data, err := encodeReport(Report{Node: "n", Uses: testUses})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeReport(data); err != nil || !reflect.DeepEqual(got.Uses, testUses) {
		t.Errorf("got %+v and %v, want %+v", got.Uses, err, testUses)
	}
	data, err = encodeUpdate(Update{Grants: testGrants})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeUpdate(data); err != nil || !reflect.DeepEqual(got.Grants, testGrants) {
		t.Errorf("got %+v and %v, want %+v", got.Grants, err, testGrants)
	}
}

// Guards against messages that grow where there are no quotas.
func TestMessagesWithoutQuotasHaveNoMoreBytes(t *testing.T) {
	report, _ := encodeReport(Report{Node: "n"})
	update, _ := encodeUpdate(Update{NodeCount: 3})
	if bytes.Contains(report, []byte("Uses")) || bytes.Contains(update, []byte("Grants")) {
		t.Errorf("got %q and %q, want no field for quotas", report, update)
	}
}

// Guards against numbers and names of a peer that make sums infinite or states large.
func TestOddQuotaMessagesAreLeftOut(t *testing.T) {
	inf, nan := float32(math.Inf(1)), float32(math.NaN())
	long := strings.Repeat("w", maximumWorkspaceName+1)
	r := (&wireQuotaReport{Uses: []wireUse{
		{Workspace: ""}, {Workspace: long}, {Workspace: "a", Used: -1}, {Workspace: "a", Used: inf}, {Workspace: "a", Refunded: nan},
		{Workspace: "a", Share: -inf}, {Workspace: "w", Used: 1, Asks: []wireAsk{{ID: 1, Amount: nan}, {ID: 2, Amount: -3}, {ID: 3, Amount: 4}}},
	}}).decode()
	want := quota.Report{Uses: []quota.Use{{Workspace: "w", Used: 1, Asks: []quota.Ask{{ID: 3, Amount: 4}}}}}
	if !reflect.DeepEqual(r, want) {
		t.Errorf("got %+v, want %+v", r, want)
	}
	n := (&wireQuotaUpdate{Nodes: 5, Levels: []wireLevel{{Workspace: "a", Amount: nan}, {Workspace: long}, {Workspace: "w", Amount: -7}}, Answers: []wireAnswer{
		{ID: 1, RetryAfterMilliseconds: -1}, {ID: 2, RetryAfterMilliseconds: math.MaxInt64}, {ID: 3, Granted: true},
	}}).decode()
	wantNews := quota.Update{Nodes: 5, Levels: []quota.Level{{Workspace: "w", Amount: -7}}, Answers: []quota.Answer{{ID: 3, Granted: true}}}
	if !reflect.DeepEqual(n, wantNews) {
		t.Errorf("got %+v, want %+v", n, wantNews)
	}
	for _, nodes := range []int{-1, 0, maximumNodes + 1} {
		if got := (&wireQuotaUpdate{Nodes: nodes, Levels: []wireLevel{{Workspace: "w"}}}).decode(); !got.IsEmpty() {
			t.Errorf("%d nodes: got %+v, want nothing", nodes, got)
		}
	}
}

// Guards against answers of one node that reach all nodes, or get lost, where updates for a slow node
// are joined.
func TestJoinedUpdatesKeepGrants(t *testing.T) {
	u := mergedUpdate([]*message{{update: Update{Grants: testGrants}}, {update: Update{NodeCount: 4}}, {update: Update{Grants: quota.Update{Nodes: 88}}}})
	want := testGrants
	want.Nodes = 88
	if !reflect.DeepEqual(u.Grants, want) {
		t.Errorf("got %+v, want %+v", u.Grants, want)
	}
}

// Guards against a decoder that panics, or passes on a number that is not finite.
func FuzzQuotaMessages(f *testing.F) {
	report, _ := cbor.Marshal(encodeQuotaReport(testUses))
	news, _ := cbor.Marshal(encodeQuotaUpdate(testGrants))
	f.Add(report)
	f.Add(news)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r *wireQuotaReport
		if unmarshal(data, &r) == nil {
			for _, u := range r.decode().Uses {
				for _, v := range []float64{u.Used, u.Refunded, math.Abs(u.Share)} {
					if !(v >= 0 && v <= 2*maximumAmount) {
						t.Fatalf("decoded %+v", u)
					}
				}
			}
		}
		var n *wireQuotaUpdate
		if unmarshal(data, &n) == nil {
			for _, l := range n.decode().Levels {
				if !(math.Abs(l.Amount) <= 2*maximumAmount) || l.Workspace == "" {
					t.Fatalf("decoded %+v", l)
				}
			}
		}
	})
}

// Guards against messages that are larger than the simulation in package quota takes them for: 120
// bytes and 20 for each workspace, ask or answer, without the headers of the layers below.
func TestQuotaMessageSizes(t *testing.T) {
	report, _ := encodeReport(Report{Node: "10.200.131.101:40000/18b2f0a1c3d4e5f6", Uses: quota.Report{Uses: []quota.Use{
		{Workspace: "workspace-00", Used: 1234.5, Asks: []quota.Ask{{ID: 70_000, Amount: 512}}},
	}}})
	reply, _ := encodeUpdate(Update{Grants: quota.Update{Nodes: 87, Levels: []quota.Level{{Workspace: "workspace-00", Amount: 1234.5}}, Answers: []quota.Answer{{ID: 70_000, RetryAfter: time.Second}}}})
	heartbeat, _ := encodeUpdate(Update{Grants: quota.Update{Nodes: 87}})
	t.Logf("report with an ask: %d bytes, reply: %d bytes, heartbeat: %d bytes", len(report), len(reply), len(heartbeat))
	for name, c := range map[string]struct{ got, want int }{"report": {len(report), 120 + 2*20}, "reply": {len(reply), 120 + 2*20}, "heartbeat": {len(heartbeat), 120}} {
		if c.got > c.want {
			t.Errorf("%s: got %d bytes, want %d at most", name, c.got, c.want)
		}
	}
}
