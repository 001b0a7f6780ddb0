package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// trickledBody returns its data in parts, one each step.
type trickledBody struct {
	ctx  context.Context
	data *bytes.Reader
	part int
	step time.Duration
}

func (b *trickledBody) Read(buffer []byte) (int, error) {
	select {
	case <-time.After(b.step):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	return b.data.Read(buffer[:min(len(buffer), b.part)])
}

func (b *trickledBody) Close() error { return nil }

// slowLog is a transport to a log whose responses arrive a part each second.
type slowLog struct{ records [][]byte }

func (l slowLog) RoundTrip(r *http.Request) (*http.Response, error) {
	page := readResponse{Oldest: 1, Next: uint64(len(l.records)) + 1}
	for i, data := range l.records {
		page.Records = append(page.Records, readRecord{Offset: uint64(i) + 1, Data: data})
	}
	encoded, err := json.Marshal(page)
	if err != nil {
		return nil, err
	}
	body := &trickledBody{ctx: r.Context(), data: bytes.NewReader(encoded), part: 1 + len(encoded)/20, step: time.Second}
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
}

// Guards against a node that never learns the decisions or the configuration: a page of the
// log that took longer than the timeout of a call was thrown away while it arrived.
func TestSlowPageOfTheLogIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, err := New(Options{Log: &Client{HTTP: &http.Client{Transport: slowLog{[][]byte{make([]byte, 1000)}}}}, Records: operatorRecordCodec, Node: "n"})
		if err != nil {
			t.Fatal(err)
		}
		page, err := r.readPage(t.Context(), fold.DecisionStream, 1, recordsPerRead, 0)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := len(page.Records), 1; got != want {
			t.Errorf("records: got %d, want %d", got, want)
		}
	})
}

// longPageLog has records that fit into a response only one by one.
type longPageLog struct{ limits []int }

func (l *longPageLog) Append(context.Context, string, [][]byte) (domain.Offset, error) {
	return 0, io.ErrUnexpectedEOF
}

func (l *longPageLog) Read(_ context.Context, _ string, from domain.Offset, limit int, _ time.Duration) (Page, error) {
	l.limits = append(l.limits, limit)
	if limit > 1 {
		return Page{}, &Error{Failure: PageTooLong}
	}
	return Page{Oldest: 1, Next: from + 2, Records: []Entry{{Offset: from}}}, nil
}

// Guards against a node that stays behind for ever: a page with more bytes than a response
// may have was cut, and read again with as many records.
func TestPageThatIsTooLongIsReadInSmallerPages(t *testing.T) {
	var l longPageLog
	r, err := New(Options{Log: &l, Records: operatorRecordCodec, Node: "n"})
	if err != nil {
		t.Fatal(err)
	}
	for range 11 {
		if page, err := r.readPage(t.Context(), fold.DecisionStream, 1, recordsPerRead, 0); err == nil && len(page.Records) == 1 {
			return
		}
	}
	t.Errorf("no page after reads of %v records", l.limits)
}
