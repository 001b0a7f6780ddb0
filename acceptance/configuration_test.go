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

// within is how soon an accepted change must be in force at every node.
const within = 3 * time.Second

// put changes a model at one node and returns the offset of the change.
func (s *system) put(p *process, name string, copies int) uint64 {
	s.t.Helper()
	body := fmt.Sprintf(`{"SchemaVersion":2,"Model":{"Name":%q,"Version":"v1","MemoryBytes":3221225472,"Copies":%d}}`, name, copies)
	r, err := http.NewRequest(http.MethodPut, "http://"+p.admin+"/admin/v1/models/"+name, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(r)
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

// configuration asks a node itself how far its configuration is.
func (s *system) configuration(p *process) uint64 {
	r, err := http.Get("http://" + p.admin + "/admin/v1/status")
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

// TestConfigurationInForceEverywhere changes the configuration 100 times at nodes in turn,
// with a node restarted every tenth time.
func TestConfigurationInForceEverywhere(t *testing.T) {
	s := start(t, 7, "--engines", "2")
	slowest := time.Duration(0)
	highest := make([]uint64, len(s.nodes))
	for i := range 100 {
		if i%10 == 9 {
			p := s.nodes[(i/10)%7]
			_ = p.command.Process.Kill()
			<-p.exited
			s.run(p)
			s.awaitReady(p)
			if got := s.configuration(p); got < highest[(i/10)%7] {
				t.Errorf("restarted node: got configuration %d when ready, want at least %d", got, highest[(i/10)%7])
			}
		}
		// The clock runs from before the request, since its answer already waits
		// for the outcome.
		sent := time.Now()
		offset := s.put(s.nodes[i%7], "coral-address-3b", 1+i%2)
		await(t, 2*within, "the change at every node", func() bool {
			for j, p := range s.nodes {
				got := s.configuration(p)
				if got < highest[j] {
					t.Fatalf("node %d: got configuration %d after %d, want no step back", j, got, highest[j])
				}
				highest[j] = got
				if got < offset {
					return false
				}
			}
			return true
		})
		slowest = max(slowest, time.Since(sent))
	}
	t.Logf("slowest of 100 changes: %v after it was sent", slowest)
	if slowest > within {
		t.Errorf("got %v until the slowest change was in force, want at most %v", slowest, within)
	}
}
