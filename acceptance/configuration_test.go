package acceptance

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// propagationLimit is the maximum time until every node applies an accepted change.
const propagationLimit = 3 * time.Second

// putModel writes a model through one node and returns the log offset of the change.
func (s *system) putModel(p *process, name string, copies int) uint64 {
	s.t.Helper()
	body := fmt.Sprintf(`{"SchemaVersion":2,"Model":{"Name":%q,"Version":"v1","MemoryBytes":3221225472,"Copies":%d}}`, name, copies)
	req, err := http.NewRequest(http.MethodPut, "http://"+p.adminAddress+"/admin/v1/models/"+name, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, _ := io.ReadAll(res.Body)
	if res.StatusCode/100 != 2 {
		s.t.Fatalf("change of %s: got %d %s, want success", name, res.StatusCode, raw)
	}
	var c struct {
		Results []struct{ Version uint64 }
	}
	if err := json.Unmarshal(raw, &c); err != nil || len(c.Results) != 1 || c.Results[0].Version == 0 {
		s.t.Fatalf("change of %s: got %s, %v, want a version", name, raw, err)
	}
	return c.Results[0].Version
}

// configurationOffset returns the log offset up to which a node has applied the
// configuration, or 0 if the node does not respond.
func (s *system) configurationOffset(p *process) uint64 {
	r, err := http.Get("http://" + p.adminAddress + "/admin/v1/status")
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	var st struct {
		Log struct{ Configuration uint64 }
	}
	if json.NewDecoder(r.Body).Decode(&st) != nil {
		return 0
	}
	return st.Log.Configuration
}

// TestConfigurationInForceEverywhere changes the configuration 100 times through alternating
// nodes and kills and restarts a node at every tenth change. Every node must apply a change
// within propagationLimit, and no node may return to an older offset, not even by a restart.
func TestConfigurationInForceEverywhere(t *testing.T) {
	s := start(t, 7, "--engines", "2")
	slowest := time.Duration(0)
	newestOffsets := make([]uint64, len(s.nodes))
	for i := range 100 {
		if i%10 == 9 {
			p := s.nodes[(i/10)%7]
			_ = p.command.Process.Kill()
			<-p.exited
			s.startProcess(p)
			s.awaitReady(p)
			if got := s.configurationOffset(p); got < newestOffsets[(i/10)%7] {
				t.Errorf("restarted node: got configuration %d when ready, want at least %d", got, newestOffsets[(i/10)%7])
			}
		}
		// The time includes the request itself, because the response already waits
		// for the outcome.
		sent := time.Now()
		offset := s.putModel(s.nodes[i%7], "coral-address-3b", 1+i%2)
		waitFor(t, 2*propagationLimit, "every node to apply the change", func() bool {
			for j, p := range s.nodes {
				got := s.configurationOffset(p)
				if got < newestOffsets[j] {
					t.Fatalf("node %d: got configuration %d after %d, want no older offset", j, got, newestOffsets[j])
				}
				newestOffsets[j] = got
				if got < offset {
					return false
				}
			}
			return true
		})
		slowest = max(slowest, time.Since(sent))
	}
	t.Logf("slowest of 100 changes: applied by every node after %v", slowest)
	if slowest > propagationLimit {
		t.Errorf("got %v until every node applied the slowest change, want at most %v", slowest, propagationLimit)
	}
}
