package hub

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/quota"
)

const (
	// maximumAmount bounds each amount of a quota, so that no sum is infinite.
	maximumAmount = 1e15
	// maximumWorkspaceName is the longest name of a workspace in bytes.
	maximumWorkspaceName = 1024
	// maximumQuotaRetry bounds the times after which a request is to be tried again.
	maximumQuotaRetry = time.Hour
)

// wireQuotaReport is a quota.Report; nil if it tells nothing.
type wireQuotaReport struct {
	_     struct{} `cbor:",toarray"`
	Joins bool
	Uses  []wireUse
}

type wireUse struct {
	_                     struct{} `cbor:",toarray"`
	Workspace             string
	Used, Refunded, Share float32
	Asks                  []wireAsk
}

type wireAsk struct {
	_      struct{} `cbor:",toarray"`
	ID     uint32
	Amount float32
}

// wireQuotaUpdate is a quota.Update; nil if it tells nothing.
type wireQuotaUpdate struct {
	_       struct{} `cbor:",toarray"`
	Nodes   int
	Levels  []wireLevel
	Answers []wireAnswer
	Rejoins bool
}

type wireLevel struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Amount    float32
	// Mode has modeFree and modeCalm.
	Mode uint8
}

const (
	modeFree = 1 << iota
	modeCalm
)

type wireAnswer struct {
	_                      struct{} `cbor:",toarray"`
	ID                     uint32
	Granted, Unknown       bool
	RetryAfterMilliseconds int64
}

func encodeQuotaReport(r quota.Report) *wireQuotaReport {
	if r.IsEmpty() {
		return nil
	}
	w := &wireQuotaReport{Joins: r.Joins}
	for _, u := range r.Uses {
		use := wireUse{Workspace: string(u.Workspace), Used: float32(u.Used), Refunded: float32(u.Refunded), Share: float32(u.Share)}
		for _, a := range u.Asks {
			use.Asks = append(use.Asks, wireAsk{ID: a.ID, Amount: float32(a.Amount)})
		}
		w.Uses = append(w.Uses, use)
	}
	return w
}

// decode returns the report without the uses and asks that are out of range.
func (w *wireQuotaReport) decode() quota.Report {
	if w == nil {
		return quota.Report{}
	}
	r := quota.Report{Joins: w.Joins}
	for _, u := range w.Uses {
		if !isWorkspaceName(u.Workspace) || !isAmount(u.Used) || !isAmount(u.Refunded) || !isLevel(u.Share) {
			continue
		}
		use := quota.Use{Workspace: domain.WorkspaceName(u.Workspace), Used: float64(u.Used), Refunded: float64(u.Refunded), Share: float64(u.Share)}
		for _, a := range u.Asks {
			if isAmount(a.Amount) {
				use.Asks = append(use.Asks, quota.Ask{ID: a.ID, Amount: float64(a.Amount)})
			}
		}
		r.Uses = append(r.Uses, use)
	}
	return r
}

func encodeQuotaUpdate(n quota.Update) *wireQuotaUpdate {
	if n.IsEmpty() {
		return nil
	}
	w := &wireQuotaUpdate{Nodes: n.Nodes, Rejoins: n.Rejoins}
	for _, l := range n.Levels {
		mode := uint8(0)
		if l.Free {
			mode |= modeFree
		}
		if l.Calm {
			mode |= modeCalm
		}
		w.Levels = append(w.Levels, wireLevel{Workspace: string(l.Workspace), Amount: float32(l.Amount), Mode: mode})
	}
	for _, a := range n.Answers {
		w.Answers = append(w.Answers, wireAnswer{ID: a.ID, Granted: a.Granted, Unknown: a.Unknown, RetryAfterMilliseconds: a.RetryAfter.Milliseconds()})
	}
	return w
}

// decode returns the news without the levels and answers that are out of range. A number of nodes
// that is out of range makes it tell nothing of the levels.
func (w *wireQuotaUpdate) decode() quota.Update {
	if w == nil {
		return quota.Update{}
	}
	n := quota.Update{Rejoins: w.Rejoins}
	for _, a := range w.Answers {
		if a.RetryAfterMilliseconds >= 0 && a.RetryAfterMilliseconds <= maximumQuotaRetry.Milliseconds() {
			n.Answers = append(n.Answers, quota.Answer{ID: a.ID, Granted: a.Granted, Unknown: a.Unknown, RetryAfter: time.Duration(a.RetryAfterMilliseconds) * time.Millisecond})
		}
	}
	if w.Nodes < 1 || w.Nodes > maximumNodes {
		return n
	}
	n.Nodes = w.Nodes
	for _, l := range w.Levels {
		if isWorkspaceName(l.Workspace) && isLevel(l.Amount) {
			n.Levels = append(n.Levels, quota.Level{
				Workspace: domain.WorkspaceName(l.Workspace), Amount: float64(l.Amount), Free: l.Mode&modeFree != 0, Calm: l.Mode&modeCalm != 0,
			})
		}
	}
	return n
}

func isWorkspaceName(s string) bool { return s != "" && len(s) <= maximumWorkspaceName }

// isAmount reports whether an amount is finite and not negative.
func isAmount(v float32) bool { return v >= 0 && v <= maximumAmount }

// isLevel reports whether the level of a bucket is finite. It may be negative.
func isLevel(v float32) bool { return math.Abs(float64(v)) <= maximumAmount }
