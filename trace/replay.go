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

// maximumLineBytes bounds one event.
const maximumLineBytes = domain.Mebibyte

// origin is the start of every trace: a whole second of the wall clock.
var origin = time.Unix(1_000_000_000, 0).UTC()

// Difference is an event whose outcome is not the stated one.
type Difference struct {
	// Line counts from 1.
	Line  int
	Event string
	Got   Outcome
	Want  Outcome
}

// String is one line for a person.
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

// FormatError is a trace that cannot be understood.
type FormatError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// Replay runs a trace and returns each difference. A trace that cannot be
// understood is a *FormatError.
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

// playLine plays one event and returns its difference, if there is one.
func (p *player) playLine(line []byte) (*Difference, error) {
	var e event
	if err := decode(line, &e); err != nil {
		return nil, err
	}
	if e.AtMilliseconds < p.lastAtMilliseconds {
		return nil, errors.New("time goes back")
	}
	p.lastAtMilliseconds = e.AtMilliseconds
	got, err := p.play(origin.Add(time.Duration(e.AtMilliseconds)*time.Millisecond), &e)
	if err != nil {
		return nil, err
	}
	if reflect.DeepEqual(got, e.Want) {
		return nil, nil
	}
	return &Difference{Event: e.Event, Got: got, Want: e.Want}, nil
}
