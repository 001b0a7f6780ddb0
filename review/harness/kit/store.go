package kit

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store: keyed topics, raw topics and consumer groups.
type Store struct {
	Address string

	mu      sync.Mutex
	changed chan struct{}
	topics  map[string]*topic
	groups  map[string]*group
}

type record struct {
	key   string
	value []byte
	raw   []byte
}

type topic struct{ records []record }

type member struct {
	seenAt     time.Time
	ttl        time.Duration
	generation uint64
}

type group struct {
	generation uint64
	members    map[string]*member
	order      []string
	owner      string
	topic      string
}

// StartStore starts a store at an address of the given IP.
func StartStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), changed: make(chan struct{}), topics: map[string]*topic{}, groups: map[string]*group{}}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// Put writes a record of a keyed topic; a nil value removes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.append(name, record{key: key, value: value, raw: append(raw, value...)})
}

func (s *Store) append(name string, r record) {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	t.records = append(t.records, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/-/log-newest":
		s.newest(w, r)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-append":
		s.appendCall(w, r, body)
	case "/-/log-join":
		s.join(w, body)
	case "/-/log-leave":
		s.leave(w, body)
	case "/-/log-owners":
		s.owners(w, r)
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[r.URL.Query().Get("topic")]
	if t == nil {
		t = &topic{}
	}
	last := map[string]int{}
	for i, x := range t.records {
		last[x.key] = i
	}
	items := []map[string]any{}
	for i, x := range t.records {
		if last[x.key] == i && len(x.value) > 0 {
			items = append(items, map[string]any{"key": x.key, "value": base64.StdEncoding.EncodeToString(x.value), "offset": i})
		}
	}
	writeJSON(w, map[string]any{"items": items, "more": false, "end": len(t.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topics[q.Get("topic")], s.changed
		end := 0
		var records []record
		if t != nil {
			end = len(t.records)
			if from < end {
				records = t.records[from:]
			}
		}
		s.mu.Unlock()
		left := time.Until(until)
		if len(records) > 0 || left <= 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, x := range records {
				out = binary.BigEndian.AppendUint32(out, uint32(len(x.raw)))
				out = append(out, x.raw...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) appendCall(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	first := 0
	if t := s.topics[name]; t != nil {
		first = len(t.records)
	}
	n := 0
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			break
		}
		raw := append([]byte(nil), body[4:4+size]...)
		x := record{raw: raw}
		if len(raw) > 0 && int(raw[0]) < len(raw) {
			x.key, x.value = string(raw[1:1+int(raw[0])]), raw[1+int(raw[0]):]
		}
		s.append(name, x)
		body = body[4+size:]
		n++
	}
	writeJSON(w, map[string]any{"offset": first, "end": first + n})
}

func (s *Store) join(w http.ResponseWriter, body []byte) {
	var q struct {
		Group, Member string
		Topics        []string
		TTL           int64  `json:"ttl_ms"`
		Generation    uint64 `json:"generation"`
	}
	if json.Unmarshal(body, &q) != nil || len(q.Topics) == 0 {
		http.Error(w, "{}", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[q.Group]
	if g == nil {
		g = &group{members: map[string]*member{}, topic: q.Topics[0]}
		s.groups[q.Group] = g
	}
	g.expire(time.Now())
	m := g.members[q.Member]
	if m == nil {
		m = &member{}
		g.members[q.Member] = m
		g.order = append(g.order, q.Member)
		g.generation++
	}
	m.seenAt, m.ttl, m.generation = time.Now(), time.Duration(q.TTL)*time.Millisecond, q.Generation
	if g.owner == "" {
		g.owner = g.order[0]
		g.generation++
	}
	parts := [][]any{}
	if g.owner == q.Member {
		parts = append(parts, []any{g.topic, 0, 0})
	}
	writeJSON(w, map[string]any{"generation": g.generation, "ttl_ms": q.TTL, "parts": parts})
}

func (g *group) remove(name string) {
	delete(g.members, name)
	for i, o := range g.order {
		if o == name {
			g.order = append(g.order[:i:i], g.order[i+1:]...)
			break
		}
	}
	g.generation++
	if g.owner == name {
		g.owner = ""
		if len(g.order) > 0 {
			g.owner = g.order[0]
		}
	}
}

func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.Sub(m.seenAt) > m.ttl {
			g.remove(name)
		}
	}
}

func (s *Store) leave(w http.ResponseWriter, body []byte) {
	var q struct{ Group, Member string }
	_ = json.Unmarshal(body, &q)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[q.Group]; g != nil && g.members[q.Member] != nil {
		g.remove(q.Member)
	}
	writeJSON(w, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[r.URL.Query().Get("group")]; g != nil {
		g.expire(time.Now())
		if g.owner != "" {
			rows = append(rows, []any{g.topic, 0, g.owner, 0})
		}
	}
	writeJSON(w, rows)
}

// Deal gives all partitions of a group to another member at once, without any request, and returns the
// owner before and after.
func (s *Store) Deal(name string) (before, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[name]
	if g == nil {
		return "", ""
	}
	g.expire(time.Now())
	before = g.owner
	for i, o := range g.order {
		if o == before {
			g.owner = g.order[(i+1)%len(g.order)]
			break
		}
	}
	g.generation++
	return before, g.owner
}
