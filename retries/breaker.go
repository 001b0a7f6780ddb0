package retries

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Bounds of a circuit breaker.
const (
	// failuresToEject in a row leave a server out; one is enough where the server
	// could not be reached at all.
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// forgetAfter is how long a quiet server's failures count.
	forgetAfter = time.Minute
)

// Breakers leave out backend servers that fail. A server that was left out long
// enough is tried again: one more failure leaves it out for twice as long. The
// zero Breakers are ready for use; they are not safe for concurrent use.
//
// Breakers may eject every server; routing.Chooser then ignores them, so that
// the last servers are never all left out.
type Breakers struct {
	servers map[domain.ServerID]*breaker
}

type breaker struct {
	failures int
	// until is when the server is tried again.
	until    time.Time
	ejection time.Duration
	// latest is when it last failed.
	latest time.Time
}

// RecordFailure counts a failure of a server. Unreached says that no connection could
// be made.
func (b *Breakers) RecordFailure(now time.Time, s domain.ServerID, unreached bool) {
	if b.servers == nil {
		b.servers = make(map[domain.ServerID]*breaker)
	}
	k := b.servers[s]
	if k == nil || now.Sub(k.latest) > forgetAfter {
		b.sweep(now)
		k = &breaker{}
		b.servers[s] = k
	}
	k.latest = now
	k.failures++
	if now.Before(k.until) || (k.failures < failuresToEject && !unreached && k.ejection == 0) {
		return
	}
	k.ejection = min(max(2*k.ejection, firstEjection), longestEjection)
	k.until = now.Add(k.ejection)
}

// RecordSuccess clears a server once it is tried again.
func (b *Breakers) RecordSuccess(now time.Time, s domain.ServerID) {
	if k := b.servers[s]; k != nil && !now.Before(k.until) {
		delete(b.servers, s)
	}
}

// IsEjected tells whether a server is left out.
func (b *Breakers) IsEjected(now time.Time, s domain.ServerID) bool {
	k := b.servers[s]
	return k != nil && now.Before(k.until)
}

// sweep forgets servers that have not failed for long.
func (b *Breakers) sweep(now time.Time) {
	for s, k := range b.servers {
		if now.Sub(k.latest) > forgetAfter {
			delete(b.servers, s)
		}
	}
}
