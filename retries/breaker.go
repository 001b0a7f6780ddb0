package retries

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Parameters of a circuit breaker.
const (
	// failuresToEject is the number of consecutive failures that eject a server. A
	// failure without a connection ejects it at once.
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// failureExpiry is the time since the last failure of a server after which its
	// failures no longer count.
	failureExpiry = time.Minute
)

// Breakers hold one circuit breaker for each backend server, for outlier ejection. A
// server is used again after its ejection. A success then clears its failures, and
// another failure ejects it for twice as long. The zero Breakers are ready for use; they
// are not safe for concurrent use.
//
// Breakers may eject every server. The caller must then ignore them, as
// routing.Chooser.Choose does, so that some server always gets requests.
type Breakers struct {
	servers map[domain.ServerID]*breaker
}

// breaker is the circuit breaker of a server that failed.
type breaker struct {
	// failures counts the consecutive failures.
	failures int
	// ejectedUntil is the end of the latest ejection; the server is used again then.
	ejectedUntil time.Time
	// ejectionTime is the length of the latest ejection, or zero if there was none.
	ejectionTime time.Duration
	// lastFailure is when the server last failed.
	lastFailure time.Time
}

// RecordFailure counts a failure of a server. It ejects the server after
// failuresToEject failures, and at once if no connection could be made (unreached) or
// if the server was ejected before. It does not extend an ejection that has not ended.
func (b *Breakers) RecordFailure(now time.Time, s domain.ServerID, unreached bool) {
	if b.servers == nil {
		b.servers = make(map[domain.ServerID]*breaker)
	}
	k := b.servers[s]
	if k == nil || now.Sub(k.lastFailure) > failureExpiry {
		b.removeExpired(now)
		k = &breaker{}
		b.servers[s] = k
	}
	k.lastFailure = now
	k.failures++
	if now.Before(k.ejectedUntil) || (k.failures < failuresToEject && !unreached && k.ejectionTime == 0) {
		return
	}
	k.ejectionTime = min(max(2*k.ejectionTime, firstEjection), longestEjection)
	k.ejectedUntil = now.Add(k.ejectionTime)
}

// RecordSuccess clears the failures of a server, unless it is still ejected.
func (b *Breakers) RecordSuccess(now time.Time, s domain.ServerID) {
	if k := b.servers[s]; k != nil && !now.Before(k.ejectedUntil) {
		delete(b.servers, s)
	}
}

// IsEjected reports whether a server is ejected now.
func (b *Breakers) IsEjected(now time.Time, s domain.ServerID) bool {
	k := b.servers[s]
	return k != nil && now.Before(k.ejectedUntil)
}

// removeExpired removes the breakers of the servers whose last failure is too long ago
// to count.
func (b *Breakers) removeExpired(now time.Time) {
	for s, k := range b.servers {
		if now.Sub(k.lastFailure) > failureExpiry {
			delete(b.servers, s)
		}
	}
}
