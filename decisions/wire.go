package decisions

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// wireEntry is the JSON form of Entry between nodes.
type wireEntry struct {
	Request string
	Team    string `json:",omitempty"`
	Steps   []wireStep
	Dropped int `json:",omitempty"`
}

type wireStep struct {
	// AtMicroseconds counts from the Unix epoch.
	AtMicroseconds int64
	Kind           int
	Node           string `json:",omitempty"`
	Server         string `json:",omitempty"`
	Model          string `json:",omitempty"`
	Detail         string `json:",omitempty"`
}

// maximumEntrySize is the largest encoded entry that Decode accepts, in bytes.
const maximumEntrySize = 64 << 10

// Encode encodes the entry for another node.
func (e Entry) Encode() ([]byte, error) {
	w := wireEntry{Request: string(e.Request), Team: string(e.Team), Dropped: e.Dropped}
	for _, s := range e.Steps {
		w.Steps = append(w.Steps, wireStep{
			AtMicroseconds: s.At.UnixMicro(),
			Kind:           int(s.Kind),
			Node:           string(s.Node),
			Server:         string(s.Server),
			Model:          string(s.Model),
			Detail:         s.Detail,
		})
	}
	raw, err := json.Marshal(w)
	return raw, errors.Wrap(err, "encode decisions")
}

// Decode decodes an entry of one node, as encoded by Encode.
func Decode(raw []byte) (Entry, error) {
	if len(raw) > maximumEntrySize {
		return Entry{}, errors.New("the encoded decisions of one request are too large")
	}
	var w wireEntry
	if err := json.Unmarshal(raw, &w); err != nil {
		return Entry{}, errors.Wrap(err, "decode decisions")
	}
	if len(w.Steps) > MaximumSteps {
		return Entry{}, errors.Errorf("an entry has more than %d decisions", MaximumSteps)
	}
	e := Entry{Request: domain.RequestID(w.Request), Team: domain.TeamName(w.Team), Dropped: w.Dropped}
	for _, s := range w.Steps {
		e.Steps = append(e.Steps, Step{
			At:     time.UnixMicro(s.AtMicroseconds),
			Kind:   Kind(s.Kind),
			Node:   domain.NodeID(s.Node),
			Server: domain.ServerID(s.Server),
			Model:  domain.ModelName(s.Model),
			Detail: s.Detail,
		})
	}
	return e, nil
}
