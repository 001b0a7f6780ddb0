// Package trace replays recorded inputs through the decisions on requests and tells
// where the outcome differs from the stated one. A trace is a file of JSON objects,
// one a line; docs/traces.md lists them.
package trace

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// SchemaVersion is the version of the format.
const SchemaVersion = 1

// header is the first line of a trace.
type header struct {
	SchemaVersion int
	Matter        string
}

// event is one input. Which fields count depends on Event; Want is the stated
// outcome.
type event struct {
	// AtMilliseconds is the time since the start of the trace.
	AtMilliseconds int64
	Event          string
	Want           Outcome

	ID                   uint64
	Team                 domain.TeamName
	Share                float64
	Priority             domain.Priority
	DeadlineMilliseconds int64
	Capacity             int

	Limit       string
	Rate        float64
	Nodes, Held int
	Amount      float64
	From        domain.NodeID
	Demand      float64

	Region   domain.Region
	Zone     domain.Zone
	Replicas []replica
	Seed     uint64
	Adapter  domain.AdapterName
	Exclude  []domain.ServerID

	Server       domain.ServerID
	Unreached    bool
	Attempts     int
	Random       float64
	Milliseconds int64

	Attempt domain.AttemptID
	Index   domain.Tokens
	Begun   bool

	Content string
	Alone   bool
	Crashes int
}

// replica is one loaded copy of a model in a Replicas event.
type replica struct {
	Server                                     domain.ServerID
	Region                                     domain.Region
	Zone                                       domain.Zone
	Running, Waiting, Concurrency              int
	ReportedAtMilliseconds, LoadedMilliseconds int64
	Adapters                                   []domain.AdapterName
}

// Outcome is what a decision came to. Fields that do not belong to an event are
// zero.
type Outcome struct {
	// Answer, Step and Standing are the names of the enums of admission, streams and
	// suspects.
	Answer   string `json:",omitempty"`
	Step     string `json:",omitempty"`
	Standing string `json:",omitempty"`
	// Admitted and Late are ids of queued requests.
	Admitted []uint64 `json:",omitempty"`
	Late     []uint64 `json:",omitempty"`
	// Allowed answers events that ask for leave.
	Allowed *bool           `json:",omitempty"`
	Server  domain.ServerID `json:",omitempty"`
	// WaitMilliseconds is a wait, a timeout or a Retry-After.
	WaitMilliseconds int64 `json:",omitempty"`
}

// timeAt is a time of a trace; the zero time stands for none.
func timeAt(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return origin.Add(time.Duration(ms) * time.Millisecond)
}

func decode(line []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return errors.WithStack(err)
	}
	if d.More() {
		return errors.New("more than one object on the line")
	}
	return nil
}

// parseContent reads a content, which may be shortened to its first bytes.
func parseContent(s string) ([32]byte, error) {
	var c [32]byte
	b, err := hex.DecodeString(s)
	if err != nil || len(b) > len(c) {
		return c, errors.Errorf("content %q is not up to 32 bytes in hexadecimal", s)
	}
	copy(c[:], b)
	return c, nil
}
