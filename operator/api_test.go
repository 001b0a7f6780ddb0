package operator

import (
	"crypto/sha256"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
)

func testTime() time.Time { return time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC) }

func model(copies domain.ReplicaCount) configuration.Record {
	return configuration.Record{Model: &configuration.Model{Name: "m", Version: "v1", Memory: domain.Gibibyte, Copies: copies}}
}

func TestChangeIsAppliedAndShown(t *testing.T) {
	f := newFixture(t)
	code, body := f.do("PUT", "/admin/v1/models/m", string(f.encode(model(2))))
	f.want(code, body, 200, `"Result": "Applied"`)
	code, body = f.do("GET", "/admin/v1/models/m", "")
	f.want(code, body, 200, `"Copies": 2`)
	code, body = f.do("GET", "/admin/v1/history", "")
	f.want(code, body, 200, `"Author": "anonymous"`)
	code, body = f.do("DELETE", "/admin/v1/models/m", "")
	f.want(code, body, 200, `"Result": "Applied"`)
	code, body = f.do("GET", "/admin/v1/models/m", "")
	f.want(code, body, 404, "UnknownObject")
}

func TestChangeOnAnOldVersionIsRefusedBeforeItIsWritten(t *testing.T) {
	f := newFixture(t, model(1), model(2))
	code, body := f.do("PUT", "/admin/v1/models/m", string(f.encode(model(3))), "If-Match", `"1"`)
	f.want(code, body, 412, `"CurrentVersion":2`)
	if got, want := len(f.system.stored), 2; got != want {
		t.Errorf("got %d records, want %d", got, want)
	}
}

func TestLoserOfARaceIsToldSo(t *testing.T) {
	f := newFixture(t, model(1))
	f.system.beforeAppend = func(s *fakeSystem) { s.put([][]byte{f.encode(model(2))}) }
	code, body := f.do("PUT", "/admin/v1/models/m", string(f.encode(model(3))), "If-Match", `"1"`)
	f.want(code, body, 409, `"CurrentVersion":2`)
	f.want(code, body, 409, `"Verdict":"NotRun"`)
	code, body = f.do("GET", "/admin/v1/models/m", "")
	f.want(code, body, 200, `"Copies": 2`)
}

func TestLostAnswerOfTheLogIsFoundInTheStream(t *testing.T) {
	f := newFixture(t)
	f.system.loseAnswers = true
	code, body := f.do("PUT", "/admin/v1/models/m", string(f.encode(model(2))))
	f.want(code, body, 200, `"Result": "Applied"`)
	if got, want := len(f.system.stored), 1; got != want {
		t.Errorf("got %d records, want %d", got, want)
	}
}

func TestRefusedAppendChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.system.refuseAppends = true
	code, body := f.do("PUT", "/admin/v1/models/m", string(f.encode(model(2))))
	f.want(code, body, 503, `"Verdict":"NotRun"`)
}

func TestFaultsOfAFileAreAllReportedAndNothingIsWritten(t *testing.T) {
	f := newFixture(t)
	code, body := f.do("POST", "/admin/v1/configuration", `{"Records": [
		{"SchemaVersion": 2, "Model": {"Name": "m", "MemoryBytes": 1, "Copis": 1}},
		{"SchemaVersion": 2, "Model": {"Name": "n", "MemoryBytes": -1}}]}`)
	f.want(code, body, 400, `"Line":2`)
	f.want(code, body, 400, `"Line":3`)
	if got, want := len(f.system.stored), 0; got != want {
		t.Errorf("got %d records, want %d", got, want)
	}
}

func TestDryRunShowsEffectsAndWritesNothing(t *testing.T) {
	f := newFixture(t, model(2))
	f.system.status = Status{
		Servers: []ServerStatus{{Server: "a", Region: "brisbane", Zone: "brisbane-a"}, {Server: "b", Region: "townsville"}},
		Permits: []PermitStatus{{Model: "m", Server: "a", Loaded: true}, {Model: "m", Server: "b", Loaded: true}},
	}
	for _, c := range []struct{ name, method, path, body, want string }{
		{"fewer copies", "PUT", "/admin/v1/models/m", string(f.encode(model(1))), `"Server": "b",
          "Reason": "only 1 copies are allowed"`},
		{"removal", "DELETE", "/admin/v1/models/m", "", `"Reason": "the model is removed"`},
		{"zone drain", "PUT", "/admin/v1/drains/zones/brisbane-a", "", `"Reason": "its server is drained"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.t = t
			code, body := f.do(c.method, c.path+"?dryRun=true", c.body)
			f.want(code, body, 200, c.want)
		})
	}
	if got, want := len(f.system.stored), 1; got != want {
		t.Errorf("got %d records, want %d", got, want)
	}
}

// secured returns a deployment that requires keys and a team with one key of
// each role; the key is named like its role.
func secured() []configuration.Record {
	team := &configuration.Team{Name: "coral"}
	for _, r := range configuration.Roles() {
		team.Keys = append(team.Keys, configuration.Key{Name: r.String(), Role: r, Hash: sha256.Sum256([]byte(r.String()))})
	}
	team.Keys = append(team.Keys, configuration.Key{Name: "old", Role: configuration.Operator, Hash: sha256.Sum256([]byte("old-key")), Expires: testTime().AddDate(-10, 0, 0)})
	return []configuration.Record{
		{Deployment: &configuration.Deployment{RequireKeys: true}},
		{Team: team},
		model(1),
	}
}

func TestKeysAndRoles(t *testing.T) {
	for _, c := range []struct {
		name, key, method, path string
		code                    int
		text                    string
	}{
		{"no key", "", "GET", "/admin/v1/models", 401, "Unauthenticated"},
		{"wrong key", "guessed-secret", "GET", "/admin/v1/models", 401, "Unauthenticated"},
		{"expired key", "old-key", "GET", "/admin/v1/models", 401, "KeyExpired"},
		{"caller reads", "Caller", "GET", "/admin/v1/models", 403, "Forbidden"},
		{"caller writes", "Caller", "DELETE", "/admin/v1/models/m", 403, "Forbidden"},
		{"read-only writes", "ReadOnly", "DELETE", "/admin/v1/models/m", 403, "Forbidden"},
		{"read-only reads", "ReadOnly", "GET", "/admin/v1/models", 200, `"Objects"`},
		{"caller asks why of another team", "Caller", "GET", "/admin/v1/why/r1", 404, "UnknownObject"},
		{"operator writes", "Operator", "DELETE", "/admin/v1/models/m", 200, "Applied"},
		{"version needs no key", "", "GET", "/admin/v1/version", 200, "SchemaVersion"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, secured()...)
			f.system.entry = decisions.Entry{Request: "r1", Team: "imnar", Steps: []decisions.Step{{}}}
			var headers []string
			if c.key != "" {
				headers = []string{"Authorization", "Bearer " + c.key}
			}
			code, body := f.do(c.method, c.path, "", headers...)
			f.want(code, body, c.code, c.text)
			refused := c.code == 401 || c.code == 403
			if got, want := f.counter("admin_refusals") == 1, refused; got != want {
				t.Errorf("refusal counted: got %v, want %v", got, want)
			}
			if refused != strings.Contains(f.log.String(), `"Event":"AdminRefusal"`) && c.code != 404 {
				t.Errorf("got log %q, want a refusal line only where refused", f.log.String())
			}
			if c.key == "guessed-secret" && strings.Contains(f.log.String(), c.key) {
				t.Errorf("the log holds the key: %q", f.log.String())
			}
		})
	}
}

func TestKeysAreSetByHashAndNeverShown(t *testing.T) {
	f := newFixture(t, secured()...)
	auth := []string{"Authorization", "Bearer Operator"}
	hash := strings.Repeat("ab", 32)
	code, body := f.do("PUT", "/admin/v1/teams/coral/keys/new", `{"Hash":"`+hash+`","Role":"Caller","Expires":"2099-01-01T00:00:00Z"}`, auth...)
	f.want(code, body, 200, "Applied")
	code, body = f.do("GET", "/admin/v1/keys", "", auth...)
	f.want(code, body, 200, `"Name": "new"`)
	if strings.Contains(body, hash) {
		t.Errorf("the list shows a hash: %s", body)
	}
	code, body = f.do("GET", "/admin/v1/history", "", auth...)
	f.want(code, body, 200, `"Author": "coral/Operator"`)
	if strings.Contains(body, hash) {
		t.Errorf("the history shows a hash: %s", body)
	}
	code, body = f.do("PUT", "/admin/v1/teams/coral/keys/new", `{"Hash":"ab","Role":"Caller"}`, auth...)
	f.want(code, body, 400, "SHA-256")
	code, body = f.do("DELETE", "/admin/v1/teams/coral/keys/new", "", auth...)
	f.want(code, body, 200, "Applied")
}

func TestDiagnoseNamesWhatIsWrongMostUrgentFirst(t *testing.T) {
	got := Diagnose(Status{
		Ready:           true,
		Log:             LogStatus{Up: false, SinceResponse: time.Minute, Configuration: 3},
		Nodes:           []NodeStatus{{Node: "a", Alive: true, Configuration: 2}, {Node: "b", Alive: false}},
		UnknownOutcomes: []UnknownOutcomeStatus{{Server: "s", Owner: "b", Since: 2 * time.Minute}},
	})
	if len(got) != 4 || got[0].Severity != Urgent || got[0].Page != "log-outage.md" || got[3].Severity != Note {
		t.Errorf("got %+v, want the log first and the old configuration last", got)
	}
	if got := Diagnose(Status{Ready: true, Log: LogStatus{Up: true}}); len(got) != 0 {
		t.Errorf("got %+v, want no problem", got)
	}
}

func TestNoChangeLocksEveryOperatorOut(t *testing.T) {
	f := newFixture(t, model(1))
	require := string(f.encode(configuration.Record{Deployment: &configuration.Deployment{RequireKeys: true}}))
	code, body := f.do("PUT", "/admin/v1/deployment", require)
	f.want(code, body, 400, "lock every operator out")

	f = newFixture(t, secured()...)
	auth := []string{"Authorization", "Bearer Operator"}
	code, body = f.do("DELETE", "/admin/v1/teams/coral/keys/ReadOnly", "", auth...)
	f.want(code, body, 200, "Applied")
	code, body = f.do("DELETE", "/admin/v1/teams/coral/keys/Operator", "", auth...)
	f.want(code, body, 400, "lock every operator out")
	code, body = f.do("DELETE", "/admin/v1/teams/coral", "", auth...)
	f.want(code, body, 400, "lock every operator out")
}

func TestReleaseEndsTheNodesOwnSuspicion(t *testing.T) {
	f := newFixture(t)
	content := strings.Repeat("ab", 32)
	code, body := f.do("PUT", "/admin/v1/quarantine/"+content, "")
	f.want(code, body, 200, "Applied")
	if got, want := len(f.system.released), 0; got != want {
		t.Errorf("got %d contents released by a block, want %d", got, want)
	}
	code, body = f.do("DELETE", "/admin/v1/quarantine/"+content+"?dryRun=true", "")
	f.want(code, body, 200, "Checked")
	code, body = f.do("DELETE", "/admin/v1/quarantine/"+content, "")
	f.want(code, body, 200, "Applied")
	if got, want := len(f.system.released), 1; got != want {
		t.Errorf("got %d contents released, want %d", got, want)
	}
}
