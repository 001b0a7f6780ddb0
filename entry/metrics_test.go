package entry

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

func TestMetricsAreServedAsText(t *testing.T) {
	m := NewMetrics()
	m.CountRequest(fleet.Streaming, dispatch.Served, 30*time.Millisecond)
	m.CountAttempt("Answered")
	m.CountKeptAway(fleet.Leaving)
	m.CountEnd(true)
	m.CountEndedEarly("Shutdown", false)
	m.SetOwnerLinks(294)
	m.CountConnectionClosed(fleet.Leaving)
	for i := range maximumCountedWorkspaces + 10 {
		m.CountWorkspaceRequest(domain.WorkspaceName(fmt.Sprintf("w%d", i)), "Served")
	}
	m.CountWorkspaceRequest("w0", "Served")
	m.CountRoomRefusal(5)
	m.RecordRoomWait(5, 70*time.Millisecond)
	m.SetWaitingForRoom(5, 3)
	m.CountStoreCall("read", true, 1200)
	m.CountStoreCall("read", false, 0)
	text := ""
	for end := time.Now().Add(2 * metricsInterval); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		if text = w.Body.String(); strings.Contains(text, "} 1200") {
			break
		}
	}
	for _, want := range []string{
		`parsleylug_requests{kind="Streaming",outcome="Served"} 1`,
		`parsleylug_attempts{result="Answered"} 1`,
		`parsleylug_requests_ended{near_change="true"} 1`,
		`parsleylug_requests_ended_early{ended_by="Shutdown",near_change="false"} 1`,
		`parsleylug_requests_kept_away{restriction="Leaving"} 1`,
		`parsleylug_owner_links 294`,
		`parsleylug_caller_connections_closed{reason="Leaving"} 1`,
		`parsleylug_workspace_requests{outcome="Served",workspace="w0"} 2`,
		`parsleylug_workspace_requests{outcome="Served",workspace="_others"} 10`,
		`parsleylug_room_refusals{rank="5"} 1`,
		`parsleylug_room_waits_count{rank="5"} 1`,
		`parsleylug_requests_waiting_for_room{rank="5"} 3`,
		`parsleylug_store_calls{call="read",succeeded="true"} 1`,
		`parsleylug_store_calls{call="read",succeeded="false"} 1`,
		`parsleylug_store_answer_bytes{call="read",succeeded="true"} 1200`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("got metrics without %s:\n%s", want, text)
		}
	}
}
