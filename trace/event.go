// Package trace replays recorded inputs through the decisions on requests: admission, limits,
// routing, retries, streams and suspects. It compares each outcome with the one that the trace
// expects. The command "replay" and the tests call it; it starts no node, opens no connection
// and reads no clock. A trace is a file of JSON objects, one a line; docs/traces.md describes
// them.
package trace

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// SchemaVersion is the supported version of the file format.
const SchemaVersion = 1

// header is the first line of a trace.
type header struct {
	SchemaVersion int
	// Matter is the subject of the trace, for example "Admission". Replay ignores it.
	Matter string
}

// event is one input. Event selects the fields that apply; Want is the expected outcome.
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

// replica is one loaded replica of a model in a Replicas event.
type replica struct {
	Server                                     domain.ServerID
	Region                                     domain.Region
	Zone                                       domain.Zone
	Running, Waiting, Concurrency              int
	ReportedAtMilliseconds, LoadedMilliseconds int64
	Adapters                                   []domain.AdapterName
}

// Outcome is the result of a decision. Fields that do not apply to an event are zero.
type Outcome struct {
	// Answer is the name of an enum value of package admission, Step of one of package streams,
	// and Standing of one of package suspects.
	Answer   string `json:",omitempty"`
	Step     string `json:",omitempty"`
	Standing string `json:",omitempty"`
	// Admitted and Late are the ids of requests that left the queue: Admitted ones got a slot,
	// Late ones can no longer meet their deadline.
	Admitted []uint64 `json:",omitempty"`
	Late     []uint64 `json:",omitempty"`
	// Allowed is the result of events that ask a yes-or-no question.
	Allowed *bool           `json:",omitempty"`
	Server  domain.ServerID `json:",omitempty"`
	// WaitMilliseconds is a wait, a timeout or a Retry-After, depending on the event.
	WaitMilliseconds int64 `json:",omitempty"`
}

// timeAt converts milliseconds since the start of the trace to a time. Zero is
// converted to the zero time.
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

// parseContent decodes a content hash in hexadecimal. The trace may shorten it to its first
// bytes.
func parseContent(s string) ([32]byte, error) {
	var c [32]byte
	b, err := hex.DecodeString(s)
	if err != nil || len(b) > len(c) {
		return c, errors.Errorf("content %q must be hexadecimal and at most 32 bytes long", s)
	}
	copy(c[:], b)
	return c, nil
}
