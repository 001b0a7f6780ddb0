package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/objective"
)

// Version tells what runs.
type Version struct {
	Version       string
	GoVersion     string
	SchemaVersion int
}

// BuildVersion returns the version of this build.
func BuildVersion() Version {
	v := Version{Version: "devel", SchemaVersion: configuration.CurrentSchemaVersion}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.GoVersion = info.GoVersion
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		v.Version = info.Main.Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && v.Version == "devel" {
			v.Version = "devel+" + s.Value[:min(len(s.Value), 12)]
		}
	}
	return v
}

func (a *API) version(context.Context, any) (any, error) { return BuildVersion(), nil }

// status serves the status of the system with its problems.
func (a *API) status(ctx context.Context, _ any) (any, error) {
	s, err := a.deps.System.Status(ctx)
	if err != nil {
		return nil, refuse(Unavailable, "the status cannot be read: "+err.Error())
	}
	s.Problems = Diagnose(s)
	return wireOfStatus(s), nil
}

// HistoryEntry is one operator record of the past.
type HistoryEntry struct {
	Version uint64
	// Author is who made the change.
	Author  string
	Subject string
	// Result is the name of a Result.
	Result string
	// Record is the record as it was written; it is absent where it cannot be
	// read.
	Record json.RawMessage `json:",omitempty"`
}

// History is the newest part of the configuration stream, newest first.
type History struct {
	Entries []HistoryEntry
}

// Bounds of a history.
const (
	historyPage     = 200
	historyDefault  = 50
	maximumHistory  = 1000
	maximumRecorded = 64 << 10
)

func (a *API) history(ctx context.Context, request any) (any, error) {
	limit, err := readLimit(request.(call).query("limit"))
	if err != nil {
		return nil, err
	}
	var newest domain.Offset
	a.deps.System.View(func(s *fold.State) { newest = s.ConfigurationOffset() })
	from := domain.Offset(1)
	if newest > domain.Offset(limit) {
		from = newest - domain.Offset(limit) + 1
	}
	stored, err := a.deps.System.ReadRecords(ctx, from, limit)
	if err != nil {
		return nil, refuse(LogUnavailable, "the platform's log cannot be read")
	}
	out := History{Entries: make([]HistoryEntry, 0, len(stored))}
	a.deps.System.View(func(s *fold.State) {
		for _, one := range stored {
			out.Entries = append(out.Entries, historyEntry(s, one))
		}
	})
	slices.Reverse(out.Entries)
	return out, nil
}

func readLimit(text string) (int, error) {
	if text == "" {
		return historyDefault, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maximumHistory {
		return 0, refuse(BadRequest, "limit must be from 1 to 1000")
	}
	return limit, nil
}

func historyEntry(s *fold.State, one StoredRecord) HistoryEntry {
	e := HistoryEntry{Version: uint64(one.Offset), Result: resultOf(s, one.Offset).String()}
	r, err := configuration.Decode(one.Data)
	if err != nil {
		e.Subject = "unreadable record"
		return e
	}
	e.Author, e.Subject = r.Author, r.Subject()
	if r.Team != nil {
		// A team's record holds hashes of keys, which a history need not show.
		return e
	}
	if len(one.Data) <= maximumRecorded {
		e.Record = one.Data
	}
	return e
}

// Why is what the nodes decided for one request.
type Why struct {
	Request string
	Team    string
	Steps   []WhyStep
	Dropped int
}

// WhyStep is one decision.
type WhyStep struct {
	At     string
	Kind   string
	Node   string
	Server string `json:",omitempty"`
	Model  string `json:",omitempty"`
	Detail string `json:",omitempty"`
}

func (a *API) why(ctx context.Context, request any) (any, error) {
	in := request.(call)
	id := in.path("request")
	e, err := a.deps.System.Decisions(ctx, domain.RequestID(id))
	if err != nil {
		return nil, refuse(Unavailable, "the nodes cannot be asked: "+err.Error())
	}
	foreign := in.who.role == configuration.Caller && e.Team != in.who.team
	if len(e.Steps) == 0 || foreign {
		return nil, refuse(UnknownObject, "no node remembers request "+printable(id))
	}
	return wireOfWhy(e), nil
}

func wireOfWhy(e decisions.Entry) Why {
	w := Why{Request: string(e.Request), Team: string(e.Team), Dropped: e.Dropped}
	for _, s := range e.Steps {
		w.Steps = append(w.Steps, WhyStep{
			At:     s.At.UTC().Format(time.RFC3339Nano),
			Kind:   s.Kind.String(),
			Node:   string(s.Node),
			Server: string(s.Server),
			Model:  string(s.Model),
			Detail: s.Detail,
		})
	}
	return w
}

// burn serves the service-level burn report as JSON.
func (a *API) burn(ctx context.Context, request any) (any, error) {
	report, err := a.report(ctx, request.(call).who)
	if err != nil {
		return nil, err
	}
	return objective.WireOf(report), nil
}

// burnPage serves the report as a page that needs nothing else.
func (a *API) burnPage(ctx context.Context, request any) (any, error) {
	report, err := a.report(ctx, request.(call).who)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = report.WriteHTML(&b)
	return b.Bytes(), err
}

// report works the report out; a caller's key sees the lines of its team only.
func (a *API) report(ctx context.Context, who identity) (objective.Report, error) {
	snapshot, err := a.deps.System.BurnSnapshot(ctx)
	if err != nil {
		return objective.Report{}, refuse(Unavailable, "the nodes cannot be asked: "+err.Error())
	}
	if who.role == configuration.Caller {
		snapshot = snapshot.ForTeam(who.team)
	}
	return snapshot.Report(time.Now(), a.goals()), nil
}

// goals reads what each team is promised.
func (a *API) goals() func(objective.Key, objective.Measure) objective.Goal {
	teams := map[domain.TeamName]configuration.Team{}
	a.deps.System.View(func(s *fold.State) {
		for _, t := range s.Teams() {
			teams[t.Name] = t
		}
	})
	return func(k objective.Key, m objective.Measure) objective.Goal { return teams[k.Team].Goal(k.Model, m) }
}

func encodePage(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("Cache-Control", "no-store")
	_, err := w.Write(response.([]byte))
	return errors.Wrap(err, "write page")
}
