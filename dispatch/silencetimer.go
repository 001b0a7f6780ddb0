package dispatch

import "time"

// silenceTimer expires once a time has passed since it was last restarted. Each event of a
// stream restarts it, so a restart to a later time leaves the timer of the runtime as it is,
// which then fires too early and is set again for the rest. It is not safe for concurrent use.
type silenceTimer struct {
	// onFire is called in a goroutine of its own when the timer of the runtime fires.
	onFire func()
	// timer is nil before the first start.
	timer *time.Timer
	// expiresAt is when the silenceTimer expires; zero if it is stopped.
	expiresAt time.Time
	// firesAt is when timer fires; zero if it is not running.
	firesAt time.Time
}

// restart makes the silenceTimer expire d after now.
func (t *silenceTimer) restart(now time.Time, d time.Duration) {
	t.expiresAt = now.Add(d)
	if !t.firesAt.IsZero() && !t.expiresAt.Before(t.firesAt) {
		return
	}
	t.firesAt = t.expiresAt
	if t.timer == nil {
		t.timer = time.AfterFunc(d, t.onFire)
	} else {
		t.timer.Reset(d)
	}
}

// stop keeps the silenceTimer from expiring until it is restarted.
func (t *silenceTimer) stop() { t.expiresAt = time.Time{} }

// close stops the timer of the runtime too.
func (t *silenceTimer) close() {
	t.stop()
	if t.timer != nil {
		t.timer.Stop()
	}
	t.firesAt = time.Time{}
}

// hasExpired reports, after timer has fired, whether the silenceTimer has expired too. The
// timer may also have fired just before it was stopped or restarted.
func (t *silenceTimer) hasExpired(now time.Time) bool {
	t.firesAt = time.Time{}
	if t.expiresAt.IsZero() {
		return false
	}
	if rest := t.expiresAt.Sub(now); rest > 0 {
		t.restart(now, rest)
		return false
	}
	t.stop()
	return true
}
