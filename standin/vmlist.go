package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// announcementTTL is how long an entry VM stays listed after its last announcement.
	announcementTTL  = 6 * time.Second
	maximumVMListLag = 10 * time.Minute
)

type wireVM struct {
	ID           string
	Kind         string
	Address      string
	AdminAddress string
	Region       string
	Zone         string
	MemoryBytes  int64
	ChecksFences bool
	ServiceName  string
	Leaving      bool
}

type wireVMs struct{ VMs []wireVM }

// vmList is the platform's list of VMs. Readers get the list as of lag ago.
type vmList struct {
	mu        sync.Mutex
	lag       time.Duration
	vms       map[string]wireVM
	expiresAt map[string]time.Time
	reclaimed map[string]bool
	// history holds the list after each change, oldest first.
	history []vmSnapshot
}

type vmSnapshot struct {
	at  time.Time
	vms []wireVM
}

func newVMList(o Options) *vmList {
	return &vmList{
		lag:       o.VMListLag,
		vms:       make(map[string]wireVM),
		expiresAt: make(map[string]time.Time),
		reclaimed: make(map[string]bool),
	}
}

// seed sets the initial VMs; they are listed without lag.
func (l *vmList) seed(vms []wireVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range vms {
		l.vms[v.ID] = v
	}
	l.recordSnapshot(time.Time{})
}

func (l *vmList) recordSnapshot(at time.Time) {
	s := vmSnapshot{at: at, vms: []wireVM{}}
	for _, v := range l.vms {
		s.vms = append(s.vms, v)
	}
	slices.SortFunc(s.vms, func(a, b wireVM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	l.history = append(l.history, s)
}

// laggedVMs returns the list as of lag ago.
func (l *vmList) laggedVMs(now time.Time) []wireVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	found := l.history[0]
	for _, s := range l.history {
		if s.at.After(now.Add(-l.lag)) {
			break
		}
		found = s
	}
	l.pruneHistory(now)
	return found.vms
}

func (l *vmList) pruneHistory(now time.Time) {
	for len(l.history) > 1 && l.history[1].at.Before(now.Add(-maximumVMListLag)) {
		l.history = l.history[1:]
	}
}

// removeExpired removes entry VMs whose announcement was not repeated in time.
func (l *vmList) removeExpired(now time.Time) {
	for {
		id, at := l.earliestExpired(now)
		if id == "" {
			return
		}
		delete(l.expiresAt, id)
		delete(l.vms, id)
		l.recordSnapshot(at)
	}
}

func (l *vmList) earliestExpired(now time.Time) (string, time.Time) {
	var first string
	var at time.Time
	for id, t := range l.expiresAt {
		if t.After(now) || (first != "" && !t.Before(at)) {
			continue
		}
		first, at = id, t
	}
	return first, at
}

// announce lists an entry VM. It reports false if the VM was reclaimed or the ID belongs
// to a VM of another kind.
func (l *vmList) announce(v wireVM, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	listed, ok := l.vms[v.ID]
	if l.reclaimed[v.ID] || (ok && listed.Kind != v.Kind) {
		return false
	}
	v.Leaving = v.Leaving || listed.Leaving
	changed := listed != v
	l.vms[v.ID] = v
	l.expiresAt[v.ID] = now.Add(announcementTTL)
	if changed {
		l.recordSnapshot(now)
	}
	return true
}

// withdraw removes an announced VM.
func (l *vmList) withdraw(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	if _, announced := l.expiresAt[id]; announced {
		l.remove(id, now)
	}
}

func (l *vmList) remove(id string, now time.Time) {
	if _, ok := l.vms[id]; !ok {
		return
	}
	delete(l.vms, id)
	delete(l.expiresAt, id)
	l.recordSnapshot(now)
}

func (l *vmList) isListed(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.vms[id]
	return ok
}

func (l *vmList) setLeaving(id string, leaving bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	v, ok := l.vms[id]
	if !ok || v.Leaving == leaving {
		return
	}
	v.Leaving = leaving
	l.vms[id] = v
	l.recordSnapshot(now)
}

// reclaim removes a VM permanently; announcements with its ID are rejected.
func (l *vmList) reclaim(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	l.remove(id, now)
	l.reclaimed[id] = true
}

func (l *vmList) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, wireVMs{VMs: l.laggedVMs(time.Now())})
	})
	mux.HandleFunc("PUT /vms/{id}", l.serveAnnounce)
	mux.HandleFunc("DELETE /vms/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.withdraw(r.PathValue("id"), time.Now())
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (l *vmList) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest")
		return
	}
	v, err := decodeAnnouncement(data, r.PathValue("id"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest")
		return
	}
	if !l.announce(v, time.Now()) {
		writeError(w, http.StatusGone, "Reclaimed")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func decodeAnnouncement(data []byte, id string) (wireVM, error) {
	var v wireVM
	if err := json.Unmarshal(data, &v); err != nil {
		return wireVM{}, errors.WithStack(err)
	}
	if v.ID != id || v.Kind != "Entry" || v.Address == "" {
		return wireVM{}, errors.New("an announcement needs the ID in its path, the kind Entry and an address")
	}
	return v, nil
}
