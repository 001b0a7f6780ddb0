package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store in its form of a log.
type store struct {
	address string
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	gen     uint64
	ttl     map[string]time.Time
	left    map[string]time.Duration
	owner   string
	parts   string
	// serverReads gets the times of the reads of the registrations, if it is set.
	serverReads chan time.Time
}

type topic struct {
	records [][]byte
	newest  map[string]int
	values  map[string][]byte
}

func newStore(address string) *store {
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{}), ttl: map[string]time.Time{}, left: map[string]time.Duration{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/log-append", s.append)
	mux.HandleFunc("/-/log-read", s.read)
	mux.HandleFunc("/-/log-newest", s.list)
	mux.HandleFunc("/-/log-join", s.join)
	mux.HandleFunc("/-/log-leave", s.leave)
	mux.HandleFunc("/-/log-owners", s.owners)
	l, err := net.Listen("tcp", address)
	check(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, values: map[string][]byte{}}
		s.topics[name] = t
	}
	return t
}

// put writes the newest record of a key.
func (s *store) put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.add(name, append(record, value...))
}

func (s *store) add(name string, record []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	at := len(t.records)
	t.records = append(t.records, record)
	if len(name) > 6 && name[:6] == "keyed." && len(record) > 0 && int(record[0]) < len(record) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.values, key)
		} else {
			t.values[key], t.newest[key] = value, at
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return at
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first, end := -1, 0
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if n > len(data)-4 {
			http.Error(w, "cut short", 400)
			return
		}
		at := s.add(r.URL.Query().Get("topic"), append([]byte{}, data[4:4+n]...))
		if first < 0 {
			first = at
		}
		end = at + 1
		data = data[4+n:]
	}
	reply(w, map[string]any{"offset": first, "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	if q.Get("topic") == "keyed.servers" && s.serverReads != nil {
		select {
		case s.serverReads <- time.Now():
		default:
		}
	}
	for {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		end := len(t.records)
		data := binary.BigEndian.AppendUint64(nil, uint64(end))
		data = binary.BigEndian.AppendUint64(data, 0)
		for i := from; i < end; i++ {
			data = binary.BigEndian.AppendUint32(data, uint32(len(t.records[i])))
			data = append(data, t.records[i]...)
		}
		s.mu.Unlock()
		if from < end || wait == 0 {
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for k := range t.values {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	items := []any{}
	for _, k := range keys {
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.values[k]), "offset": t.newest[k]})
	}
	reply(w, map[string]any{"items": items, "more": false, "end": len(t.records)})
}

// expire removes the members whose time-to-live has passed. The caller holds mu.
func (s *store) expire() {
	for m, at := range s.ttl {
		if time.Since(at) > s.left[m] {
			s.remove(m)
		}
	}
	if s.owner == "" {
		var names []string
		for m := range s.ttl {
			names = append(names, m)
		}
		sort.Strings(names)
		if len(names) > 0 {
			s.owner = names[0]
			s.gen++
		}
	}
}

func (s *store) remove(m string) {
	delete(s.ttl, m)
	delete(s.left, m)
	s.gen++
	if s.owner == m {
		s.owner = ""
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    int64    `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Topics) != 1 {
		http.Error(w, "bad", 400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ttl[call.Member]; !ok {
		s.gen++
	}
	s.parts = call.Topics[0]
	s.ttl[call.Member], s.left[call.Member] = time.Now(), time.Duration(call.TTL)*time.Millisecond
	s.expire()
	parts := [][]any{}
	if s.owner == call.Member {
		parts = append(parts, []any{s.parts, 0, 0})
	}
	reply(w, map[string]any{"generation": s.gen, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Member string `json:"member"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ttl[call.Member]; ok {
		s.remove(call.Member)
	}
	s.expire()
	reply(w, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	if s.owner != "" {
		rows = append(rows, []any{s.parts, 0, s.owner, 0})
	}
	reply(w, rows)
}

func reply(w http.ResponseWriter, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func check(err error) {
	if err != nil {
		fmt.Println("cannot run:", err)
		exit(2)
	}
}

// awaitServerRead returns shortly after the next read of the registrations.
func (s *store) awaitServerRead() {
	for len(s.serverReads) > 0 {
		<-s.serverReads
	}
	select {
	case <-s.serverReads:
	case <-time.After(3 * time.Second):
	}
	time.Sleep(20 * time.Millisecond)
}
