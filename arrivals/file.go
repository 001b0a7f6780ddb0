package arrivals

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// The JSON objects of a trace file: a header on the first line, then one request a line.
type (
	wireHeader struct {
		Name                 string
		Seed                 uint64
		Start                time.Time
		LengthMilliseconds   int64
		MeasuredMilliseconds int64
		ColdStartWeight      float64
		IdleWeight           float64
		Models               []wireModel
		Servers              []wireServer
	}
	wireModel struct {
		Name        string
		MemoryBytes int64
		Region      string
	}
	wireServer struct {
		ID          string
		Region      string
		MemoryBytes int64
		DiskSlots   int
		MemorySlots int
		OnDisk      []int
	}
	wireRequest struct {
		AtMilliseconds      int64
		Model               int
		TakesMilliseconds   int64
		TimeoutMilliseconds int64
	}
)

// Write writes a trace as JSON lines. Times are truncated to milliseconds.
func (t *Trace) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	if err := e.Encode(t.toWire()); err != nil {
		return errors.WithStack(err)
	}
	for _, r := range t.Requests {
		line := wireRequest{r.At.Milliseconds(), r.Model, r.ResponseTime.Milliseconds(), r.Timeout.Milliseconds()}
		if err := e.Encode(line); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(b.Flush())
}

func (t *Trace) toWire() wireHeader {
	h := wireHeader{
		Name: t.Name, Seed: t.Seed, Start: t.Start,
		LengthMilliseconds: t.Length.Milliseconds(), MeasuredMilliseconds: t.MeasuredFrom.Milliseconds(),
		ColdStartWeight: t.ColdStartWeight, IdleWeight: t.IdleWeight,
	}
	for _, m := range t.Models {
		h.Models = append(h.Models, wireModel{string(m.Name), int64(m.Size), string(m.Region)})
	}
	for _, s := range t.Servers {
		h.Servers = append(h.Servers, wireServer{
			ID: string(s.ID), Region: string(s.Region), MemoryBytes: int64(s.Memory),
			DiskSlots: s.DiskSlots, MemorySlots: s.MemorySlots, OnDisk: s.OnDisk,
		})
	}
	return h
}

// Read reads a trace. It rejects unknown fields, indices without a model and requests out of
// order.
func Read(r io.Reader) (*Trace, error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	var h wireHeader
	if err := d.Decode(&h); err != nil {
		return nil, errors.Wrap(err, "header")
	}
	t := h.toTrace()
	if err := t.validate(); err != nil {
		return nil, err
	}
	for d.More() {
		var line wireRequest
		if err := d.Decode(&line); err != nil {
			return nil, errors.Wrapf(err, "request %d", len(t.Requests)+1)
		}
		if err := t.appendRequest(line); err != nil {
			return nil, errors.Wrapf(err, "request %d", len(t.Requests)+1)
		}
	}
	return t, nil
}

func (h wireHeader) toTrace() *Trace {
	t := &Trace{
		Name: h.Name, Seed: h.Seed, Start: h.Start,
		Length: milliseconds(h.LengthMilliseconds), MeasuredFrom: milliseconds(h.MeasuredMilliseconds),
		ColdStartWeight: h.ColdStartWeight, IdleWeight: h.IdleWeight,
	}
	for _, m := range h.Models {
		t.Models = append(t.Models, Model{domain.ModelName(m.Name), domain.Bytes(m.MemoryBytes), domain.Region(m.Region)})
	}
	for _, s := range h.Servers {
		t.Servers = append(t.Servers, Server{
			ID: domain.ServerID(s.ID), Region: domain.Region(s.Region), Memory: domain.Bytes(s.MemoryBytes),
			DiskSlots: s.DiskSlots, MemorySlots: s.MemorySlots, OnDisk: s.OnDisk,
		})
	}
	return t
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (t *Trace) validate() error {
	if t.Length <= 0 || t.MeasuredFrom < 0 || t.MeasuredFrom >= t.Length {
		return errors.New("LengthMilliseconds must be positive, and MeasuredMilliseconds from 0 to less than it")
	}
	for _, s := range t.Servers {
		for _, m := range s.OnDisk {
			if m < 0 || m >= len(t.Models) {
				return errors.Errorf("server %s has an index without a model in OnDisk", s.ID)
			}
		}
	}
	return nil
}

func (t *Trace) appendRequest(l wireRequest) error {
	r := Request{milliseconds(l.AtMilliseconds), l.Model, milliseconds(l.TakesMilliseconds), milliseconds(l.TimeoutMilliseconds)}
	switch {
	case r.Model < 0 || r.Model >= len(t.Models):
		return errors.New("Model is not an index of the models in the header")
	case r.At < 0 || r.At >= t.Length || r.ResponseTime < 0 || r.Timeout <= 0:
		return errors.New("AtMilliseconds, TakesMilliseconds or TimeoutMilliseconds is out of range")
	case len(t.Requests) > 0 && r.At < t.Requests[len(t.Requests)-1].At:
		return errors.New("AtMilliseconds is less than that of the previous request")
	}
	t.Requests = append(t.Requests, r)
	return nil
}
