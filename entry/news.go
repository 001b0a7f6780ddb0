package entry

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// newsLife is how many intervals between the owner's reads may pass before its
	// word on the store counts as old.
	newsLife = 1.6
	// newsLook is how often a node that waits at the store looks at the news. A call
	// that is behind them twice in a row has lost its answer.
	newsLook = 250 * time.Millisecond
	// longestUnread is after how long the registrations are read though the owner
	// saw no change: the store keeps its history only for a while.
	longestUnread = 8 * time.Second
)

// news is what the owner says of the store, so that the other nodes read there
// only what has changed.
type news struct {
	// at is when the owner last read there; zero where it never did.
	at time.Time
	// hub.News holds the offsets up to which the owner saw changes.
	hub.News
	// changed is closed when an offset rises.
	changed chan struct{}
}

// heard takes in the owner's word. The caller holds mu.
func (n *Node) heard(now time.Time, w hub.News) {
	if w == (hub.News{}) {
		return
	}
	if w.Read {
		n.news.at = now
	}
	w.Read = false
	if w == n.news.News {
		return
	}
	n.news.News = w
	n.news.renew()
}

// renew wakes those who wait for a change.
func (w *news) renew() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// newsLeft is how long the owner's word on the store still counts; 0 where it does
// not. The caller holds mu.
func (n *Node) newsLeft(now time.Time) time.Duration {
	if n.news.at.IsZero() {
		return 0
	}
	return max(0, time.Duration(newsLife*float64(n.RegistrationsInterval))-now.Sub(n.news.at))
}

// informed tells whether the owner's word on the store is fresh. The caller holds
// mu.
func (n *Node) informed(now time.Time) bool { return n.newsLeft(now) > 0 }

// unread tells whether the registrations should be read, when they were last read
// up to an offset at a time.
func (n *Node) unread(now time.Time, cursor domain.Offset, last time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fence != 0 || !n.informed(now) || !n.listed || cursor < n.news.Registrations || now.Sub(last) >= longestUnread
}

// configurationWaits is how long a call may wait for a configuration.
func (n *Node) configurationWaits() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.informed(time.Now()) && n.config != nil {
		return informedWait
	}
	return configurationWait
}

// newsChanged returns a channel that is closed when the owner has seen a change.
func (n *Node) newsChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.news.changed
}

// watchNews ends a call for a configuration after cursor that may have lost its
// answer: the owner has read a newer one, or no longer says anything.
func (n *Node) watchNews(ctx context.Context, cancel context.CancelFunc, cursor domain.Offset) {
	began := time.Now()
	behind := false
	for pause.For(ctx, newsLook, nil) {
		n.mu.Lock()
		now := time.Now()
		missed := n.news.Configuration > cursor
		forsaken := !n.informed(now) && now.Sub(began) > configurationWait
		n.mu.Unlock()
		if missed && behind || forsaken {
			cancel()
			return
		}
		behind = missed
	}
}

// spread tells the other nodes what this node has seen in the store, if it is the
// owner. Read tells that it has just read the registrations. The caller holds mu.
func (n *Node) spread(read bool) {
	if n.fence == 0 {
		return
	}
	u := hub.Update{News: hub.News{Configuration: n.configurationEnd, Registrations: n.registrationsEnd, Read: read}}
	if err := n.Hub.Broadcast(u); err != nil {
		n.Logger.Error().Str("Event", "NewsFailed").Err(err).Msg("news of the store cannot be encoded")
	}
}
