package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (log form): keyed topics with one partition and
// one consumer group whose eight partitions are dealt evenly to its members.
type store struct {
	address string

	mu     sync.Mutex
	wake   chan struct{}
	topics map[string]*topic
	groups map[string]*group
}

type entry struct{ key, value string }

type topic struct {
	first   int
	records []entry
	newest  map[string]int
	values  map[string]string
	// writtenAt is when a key was last written.
	writtenAt map[string]time.Time
}

func (t *topic) end() int { return t.first + len(t.records) }

type member struct {
	name    string
	expires time.Time
	ttl     time.Duration
	sent    int
}

const partitions = 8

type group struct {
	topic      string
	generation int
	members    map[string]*member
	// target is the deal of the present generation, held who consumes a partition now.
	target, held [partitions]string
}

func newStore() *store {
	s := &store{wake: make(chan struct{}), topics: map[string]*topic{}, groups: map[string]*group{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.listNewest)
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("POST /-/log-join", s.join)
	mux.HandleFunc("POST /-/log-leave", s.leave)
	mux.HandleFunc("GET /-/log-owners", s.owners)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// expireServers removes the entries of replicas that were silent for three beats.
func (s *store) expireServers(beat time.Duration, log *record) {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		t := s.topic("keyed.servers")
		var silent []string
		for key := range t.values {
			if time.Since(t.writtenAt[key]) > 3*beat {
				silent = append(silent, key)
			}
		}
		s.mu.Unlock()
		for _, key := range silent {
			log.add("the entry of %s is removed after three beats of silence", key)
			s.put("keyed.servers", key, "")
		}
	}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, values: map[string]string{}, writtenAt: map[string]time.Time{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record; an empty value drops the key.
func (s *store) put(name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if value == "" {
		delete(t.values, key)
		delete(t.newest, key)
	} else {
		t.newest[key], t.values[key] = t.end(), value
		t.writtenAt[key] = time.Now()
	}
	t.records = append(t.records, entry{key, value})
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, wake := s.topic(q.Get("topic")), s.wake
		first, end := t.first, t.end()
		data := binary.BigEndian.AppendUint64(nil, uint64(end))
		data = binary.BigEndian.AppendUint64(data, uint64(first))
		for i := max(0, from-first); i < len(t.records) && len(data) < 1<<20; i++ {
			e := t.records[i]
			data = binary.BigEndian.AppendUint32(data, uint32(1+len(e.key)+len(e.value)))
			data = append(append(append(data, byte(len(e.key))), e.key...), e.value...)
		}
		s.mu.Unlock()
		if from < first || from > end {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": first})
			return
		}
		if from < end || wait == 0 {
			_, _ = w.Write(data)
			return
		}
		select {
		case <-wake:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for k, v := range t.values {
		items = append(items, map[string]any{"key": k, "value": []byte(v), "offset": t.newest[k]})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": t.end()})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for len(data) >= 4 {
		n := binary.BigEndian.Uint32(data)
		record := data[4 : 4+n]
		k := int(record[0])
		s.put(r.URL.Query().Get("topic"), string(record[1:1+k]), string(record[1+k:]))
		data = data[4+n:]
	}
	_, _ = io.WriteString(w, `{"offset":0,"end":0}`)
}

// expire removes the members that were silent for their time. The caller holds mu.
func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, name)
			for p := range g.held {
				if g.held[p] == name {
					g.held[p] = ""
				}
			}
			g.deal()
		}
	}
}

// deal deals the partitions evenly.
func (g *group) deal() {
	g.generation++
	var names []string
	for n := range g.members {
		names = append(names, n)
	}
	sort.Strings(names)
	if len(names) == 0 {
		g.target, g.held = [partitions]string{}, [partitions]string{}
		return
	}
	count := map[string]int{}
	most := (partitions + len(names) - 1) / len(names)
	for p := range g.target {
		if g.members[g.target[p]] == nil || count[g.target[p]] >= most {
			g.target[p] = ""
			continue
		}
		count[g.target[p]]++
	}
	for p := range g.target {
		if g.target[p] != "" {
			continue
		}
		best := names[0]
		for _, n := range names {
			if count[n] < count[best] {
				best = n
			}
		}
		g.target[p] = best
		count[best]++
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Group, Member string
		Topics        []string
		TTL           int64 `json:"ttl_ms"`
		Generation    int
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil || len(c.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	g := s.groups[c.Group]
	if g == nil {
		g = &group{topic: c.Topics[0], members: map[string]*member{}}
		s.groups[c.Group] = g
	}
	g.expire(now)
	m := g.members[c.Member]
	if m == nil {
		m = &member{name: c.Member}
		g.members[c.Member] = m
		g.deal()
	}
	m.ttl = time.Duration(c.TTL) * time.Millisecond
	m.expires, m.sent = now.Add(m.ttl), c.Generation
	parts := [][]any{}
	for p := range g.target {
		if g.held[p] == c.Member && g.target[p] != c.Member && c.Generation >= g.generation {
			g.held[p] = ""
		}
		if g.held[p] == "" && g.target[p] == c.Member {
			g.held[p] = c.Member
		}
		if g.held[p] == c.Member && g.target[p] == c.Member {
			parts = append(parts, []any{g.topic, p, 0})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": g.generation, "ttl_ms": c.TTL, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c struct{ Group, Member string }
	_ = json.NewDecoder(r.Body).Decode(&c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[c.Group]; g != nil && g.members[c.Member] != nil {
		delete(g.members, c.Member)
		for p := range g.held {
			if g.held[p] == c.Member {
				g.held[p] = ""
			}
		}
		g.deal()
	}
	_, _ = io.WriteString(w, "{}")
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[r.URL.Query().Get("group")]; g != nil {
		g.expire(time.Now())
		for p, n := range g.held {
			if n != "" {
				rows = append(rows, []any{g.topic, p, n, 0})
			}
		}
	}
	_ = json.NewEncoder(w).Encode(rows)
}
