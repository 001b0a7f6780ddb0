package retries

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Parameters of a circuit breaker.
const (
	// failuresToEject consecutive failures eject a server; one is enough if no
	// connection could be made.
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// failureExpiry is how long a server's failures count after its last one.
	failureExpiry = time.Minute
)

// Breakers are one circuit breaker for each backend server, for outlier ejection. After
// its ejection a server is used again: a success clears its failures, another failure
// ejects it for twice as long. The zero Breakers are ready for use; they are not safe
// for concurrent use.
//
// Breakers may eject every server. The caller must then ignore them, as
// routing.Chooser.Choose does, so that some server always gets requests.
type Breakers struct {
	servers map[domain.ServerID]*breaker
}

type breaker struct {
	failures int
	// ejectedUntil is the end of the latest ejection; the server is used again then.
	ejectedUntil time.Time
	ejectionTime time.Duration
	lastFailure  time.Time
}

// RecordFailure counts a failure of a server. Unreached means that no connection could be
// made.
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

// removeExpired removes the breakers whose failures no longer count.
func (b *Breakers) removeExpired(now time.Time) {
	for s, k := range b.servers {
		if now.Sub(k.lastFailure) > failureExpiry {
			delete(b.servers, s)
		}
	}
}
