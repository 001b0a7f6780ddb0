package quota

import "time"

// simWorkspace is a workspace with its traffic and what became of it.
type simWorkspace struct {
	limit Limit
	// usual is the usual use per second. It does not follow changes of the limit.
	usual float64
	// factor multiplies the usual use at a time. at returns the node of the next request.
	factor func(now time.Duration) float64
	at     func() int
	// runs are the admitted requests in the order of time.
	runs []simRun
	// reference is the level of a bucket with the limit that is charged with all runs.
	reference   float64
	referenceAt time.Duration
	offered     int
	// refused were refused, wrong of them though the reference bucket had room, and unknown got the
	// answer that the node does not know.
	// wrongUnknown counts those of them for which the reference bucket had room.
	refused, wrong, unknown, wrongUnknown int
	// boundFrom is from when on the bound of the limit counts.
	boundFrom time.Duration
}

type simRun struct {
	at     time.Duration
	amount float64
}

// refill brings the reference bucket up to date.
func (w *simWorkspace) refill(now time.Duration) {
	w.reference = min(w.limit.Burst, w.reference+w.limit.Rate*(now-w.referenceAt).Seconds())
	w.referenceAt = now
}

func (s *simulation) admit(r simRequest) {
	r.w.refill(s.now)
	r.w.reference -= r.amount
	r.w.runs = append(r.w.runs, simRun{s.now, r.amount})
}

func (s *simulation) refuse(r simRequest) {
	r.w.refill(s.now)
	r.w.refused++
	if r.w.hadRoom(r.amount) {
		r.w.wrong++
	}
}

func (s *simulation) refuseUnknown(r simRequest) {
	r.w.refill(s.now)
	r.w.unknown++
	if r.w.hadRoom(r.amount) {
		r.w.wrongUnknown++
	}
}

// hadRoom reports whether the reference bucket has room for a request that was refused, and charges
// it: each refusal that counts as wrong could have run beside the others.
func (w *simWorkspace) hadRoom(amount float64) bool {
	if w.reference < min(amount, w.limit.Burst) {
		return false
	}
	w.reference -= amount
	return true
}

// worstWindow returns the largest sum in a window as a part of the bound.
func (w *simWorkspace) worstWindow(t Terms) float64 {
	worst, sum, first := 0.0, 0.0, 0
	for i, r := range w.runs {
		if r.at < w.boundFrom {
			first = i + 1
			continue
		}
		sum += r.amount
		for r.at-w.runs[first].at > t.Window {
			sum -= w.runs[first].amount
			first++
		}
		worst = max(worst, sum)
	}
	return worst / t.Bound(w.limit)
}

// simResult are the measures over all workspaces.
type simResult struct {
	offered, refused, wrong, unknown, wrongUnknown int
	worst                                          float64
	bytesPerNode                                   float64
	reports                                        float64
}

// share returns a number of requests as a part of all.
func (r simResult) share(requests int) float64 { return float64(requests) / float64(r.offered) }

func (s *simulation) result(d time.Duration) simResult {
	var r simResult
	for _, w := range s.workspaces {
		r.offered += w.offered
		r.refused += w.refused
		r.wrong += w.wrong
		r.unknown += w.unknown
		r.wrongUnknown += w.wrongUnknown
		r.worst = max(r.worst, w.worstWindow(simTerms))
	}
	for _, n := range s.nodes {
		r.bytesPerNode += float64(n.bytes) / float64(len(s.nodes)) / d.Seconds()
	}
	r.reports = float64(s.messages) / d.Seconds()
	return r
}
