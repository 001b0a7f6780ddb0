package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// maximumLineBytes is the maximum size of one line.
const maximumLineBytes = domain.Mebibyte

// origin is the time of offset zero in every trace, a whole second of the wall clock.
var origin = time.Unix(1_000_000_000, 0).UTC()

// Difference is an event whose outcome differs from the expected one.
type Difference struct {
	// Line is the line number in the file, from 1.
	Line  int
	Event string
	Got   Outcome
	Want  Outcome
}

// String formats the difference on one line.
func (d Difference) String() string {
	return fmt.Sprintf("line %d: %s: got %s, want %s", d.Line, d.Event, outcomeJSON(d.Got), outcomeJSON(d.Want))
}

func outcomeJSON(o Outcome) string {
	b, err := json.Marshal(o)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// FormatError reports an invalid line of a trace.
type FormatError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// Replay replays a trace and returns its differences. The error for an invalid trace is a
// *FormatError.
func Replay(r io.Reader) ([]Difference, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, int(maximumLineBytes))
	var differences []Difference
	var p player
	lineNumber, headerRead := 0, false
	for lines.Scan() {
		lineNumber++
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if !headerRead {
			headerRead = true
			if err := checkHeader(line); err != nil {
				return nil, &FormatError{Line: lineNumber, Err: err}
			}
			continue
		}
		d, err := p.playLine(line)
		if err != nil {
			return nil, &FormatError{Line: lineNumber, Err: err}
		}
		if d != nil {
			d.Line = lineNumber
			differences = append(differences, *d)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, &FormatError{Line: lineNumber + 1, Err: errors.WithStack(err)}
	}
	if !headerRead {
		return nil, &FormatError{Line: 1, Err: errors.New("the trace is empty")}
	}
	return differences, nil
}

func checkHeader(line []byte) error {
	var h header
	if err := decode(line, &h); err != nil {
		return err
	}
	if h.SchemaVersion != SchemaVersion {
		return errors.Errorf("schema version %d is not known; this is version %d", h.SchemaVersion, SchemaVersion)
	}
	return nil
}

// playLine applies the event on a line. It returns nil if the outcome is as expected.
func (p *player) playLine(line []byte) (*Difference, error) {
	var e event
	if err := decode(line, &e); err != nil {
		return nil, err
	}
	if e.AtMilliseconds < p.lastAtMilliseconds {
		return nil, errors.New("AtMilliseconds is less than that of the previous event")
	}
	p.lastAtMilliseconds = e.AtMilliseconds
	outcome, err := p.play(origin.Add(time.Duration(e.AtMilliseconds)*time.Millisecond), &e)
	if err != nil {
		return nil, err
	}
	if reflect.DeepEqual(outcome, e.Want) {
		return nil, nil
	}
	return &Difference{Event: e.Event, Got: outcome, Want: e.Want}, nil
}
