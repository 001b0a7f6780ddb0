package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/pause"
)

const (
	defaultPageRecords = 1000
	maximumPageRecords = 10_000
	maximumPollWait    = 30 * time.Second
)

type wireAppend struct{ Records [][]byte }

type wireAppended struct{ First, Next uint64 }

type wirePage struct {
	Oldest, Next uint64
	Records      []wireRecord
}

type wireRecord struct {
	Offset uint64
	Data   []byte
}

type wireExpired struct{ Oldest, Next uint64 }

func (l *platformLog) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	return mux
}

func decodeAppend(data []byte) ([][]byte, error) {
	var w wireAppend
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, errors.WithStack(err)
	}
	if len(w.Records) == 0 {
		return nil, errors.New("no records")
	}
	for _, r := range w.Records {
		if len(r) == 0 {
			return nil, errors.New("a record is empty")
		}
	}
	return w.Records, nil
}

func (l *platformLog) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest")
		return
	}
	records, err := decodeAppend(data)
	if err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest")
		return
	}
	faults, limiter := l.currentFaults()
	if faults.down {
		writeError(w, http.StatusServiceUnavailable, "Down")
		return
	}
	if !limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "TooManyAppends")
		return
	}
	// A delayed append takes effect even if the client has disconnected.
	_ = pause.For(context.WithoutCancel(r.Context()), faults.delay, nil)
	first, next := l.append(r.PathValue("stream"), records)
	l.appends.Add(1)
	if l.random.occurs(faults.lostResponseShare) {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, wireAppended{First: first, Next: next})
}

func (l *platformLog) serveRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseReadQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest")
		return
	}
	faults, _ := l.currentFaults()
	if !pause.For(r.Context(), faults.delay, nil) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.wait)
	defer cancel()
	p := l.read(ctx, r.PathValue("stream"), q.from, q.limit)
	switch {
	case p.down:
		writeError(w, http.StatusServiceUnavailable, "Down")
	case p.expired:
		writeJSON(w, http.StatusGone, wireExpired{Oldest: p.oldest, Next: p.next})
	default:
		writeJSON(w, http.StatusOK, p.wire())
	}
}

func (p logPage) wire() wirePage {
	w := wirePage{Oldest: p.oldest, Next: p.next, Records: []wireRecord{}}
	for i, r := range p.records {
		w.Records = append(w.Records, wireRecord{Offset: p.from + uint64(i), Data: r})
	}
	return w
}

type readQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

func parseReadQuery(r *http.Request) (readQuery, error) {
	q := readQuery{from: 1, limit: defaultPageRecords}
	values := r.URL.Query()
	if v := values.Get("from"); v != "" {
		from, err := strconv.ParseUint(v, 10, 63)
		if err != nil || from == 0 {
			return q, errors.Errorf("from %q is not an offset", v)
		}
		q.from = from
	}
	if v := values.Get("max"); v != "" {
		limit, err := strconv.Atoi(v)
		if err != nil || limit < 1 {
			return q, errors.Errorf("max %q is not a positive integer", v)
		}
		q.limit = min(limit, maximumPageRecords)
	}
	if v := values.Get("waitMilliseconds"); v != "" {
		wait, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return q, errors.Errorf("waitMilliseconds %q is not a number of milliseconds", v)
		}
		q.wait = min(time.Duration(wait)*time.Millisecond, maximumPollWait)
	}
	return q, nil
}
