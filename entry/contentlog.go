package entry

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/suspects"
)

// Contents holds what a node knows of request contents that crash servers.
type Contents interface {
	// RestoreContents adds the crashes that this node does not know yet. It reports whether there
	// were any.
	RestoreContents(records []suspects.ContentRecord) bool
	// ContentSnapshot returns what a node needs to know that starts.
	ContentSnapshot() []suspects.ContentRecord
	// AllContents returns the same without a bound for messages.
	AllContents() []suspects.ContentRecord
	// ContentRecords returns what this node knows of some contents, of those that crashed several
	// servers.
	ContentRecords(contents []suspects.Content) []suspects.ContentRecord
}

// ContentLog keeps the contents of requests that crashed servers in the platform's store, so that a
// node learns of them that starts while no owner can tell it.
type ContentLog interface {
	Load(ctx context.Context) ([]suspects.ContentRecord, error)
	// Save records contents, and removes those that are cleared.
	Save(ctx context.Context, changed []suspects.ContentRecord, cleared []suspects.Content) error
}

// maximumStoredContents bounds the contents that a node knows to be in the store.
const maximumStoredContents = 4096

// storedContents is what a node knows of the ContentLog.
type storedContents struct {
	// changed gets a value when contents may have to be saved.
	changed chan struct{}
	// isLoaded is set after the first attempt to read them, or after maximumTraitLoad.
	isLoaded bool
	// isRead is set once they were read.
	isRead bool
	// crashes holds the number of crashes that the store has of each content; 0 if it is unknown
	// whether it has the content.
	crashes map[suspects.Content]int
}

// loadContents reads the contents that crashed servers when the node starts. The node is ready
// after the first attempt, or after maximumTraitLoad; it then learns of them later.
func (n *Node) loadContents(ctx context.Context) {
	if n.ContentLog == nil || n.Contents == nil {
		return
	}
	timer := time.AfterFunc(maximumTraitLoad, n.endContentLoad)
	defer timer.Stop()
	for ctx.Err() == nil {
		records, err := n.ContentLog.Load(ctx)
		if err == nil {
			n.noteReadContents(records)
			n.Contents.RestoreContents(records)
			n.logContents("Store", len(records))
		}
		n.endContentLoad()
		if err == nil {
			return
		}
		n.Logger.Info().Str("Event", "ContentsNotLoaded").Err(err).Msg("failed to read the request contents that crashed servers from the store")
		n.pauseUntilRecovery(ctx, maximumRelinkInterval)
	}
}

// endContentLoad records that the node need not wait for the contents any longer.
func (n *Node) endContentLoad() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stored.isLoaded = true
}

// noteReadContents records the contents that this node has read in the store.
func (n *Node) noteReadContents(records []suspects.ContentRecord) {
	n.mu.Lock()
	n.stored.isRead = true
	n.mu.Unlock()
	n.noteStoredContents(records)
}

// noteStoredContents records contents that the store has.
func (n *Node) noteStoredContents(records []suspects.ContentRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range records {
		n.notePossiblyStoredContent(r.Content)
		if _, ok := n.stored.crashes[r.Content]; ok {
			n.stored.crashes[r.Content] = len(r.Crashes)
		}
	}
}

// notePossiblyStoredContent records a content that the store may have. The caller holds mu.
func (n *Node) notePossiblyStoredContent(c suspects.Content) {
	if n.stored.crashes == nil {
		n.stored.crashes = map[suspects.Content]int{}
	}
	if _, ok := n.stored.crashes[c]; !ok && len(n.stored.crashes) < maximumStoredContents {
		n.stored.crashes[c] = 0
	}
}

// noteCrashReports records that contents may have to be saved or removed. The caller holds mu.
func (n *Node) noteCrashReports(reports []suspects.Report) {
	for _, r := range reports {
		if r.Crashes >= suspects.CrashLimit {
			n.notePossiblyStoredContent(r.Content)
		}
	}
	if len(reports) > 0 {
		signal(n.stored.changed)
	}
}

// restoreContents adds what another node has sent of contents. It reports whether there was
// something new. The caller holds mu.
func (n *Node) restoreContents(records []suspects.ContentRecord) bool {
	if n.Contents == nil || len(records) == 0 {
		return false
	}
	for _, r := range records {
		n.notePossiblyStoredContent(r.Content)
	}
	isNew := n.Contents.RestoreContents(records)
	if isNew {
		n.logContents("Link", len(records))
		signal(n.stored.changed)
	}
	return isNew
}

// logContents logs how many contents that crashed several servers this node was told of.
func (n *Node) logContents(source string, contents int) {
	n.Logger.Info().Str("Event", "ContentsLearned").Str("Source", source).Int("Contents", contents).Msg("learned which request contents crashed several servers")
}

// contentSnapshot returns what a node needs to know of contents that has just linked.
func (n *Node) contentSnapshot() []suspects.ContentRecord {
	if n.Contents == nil {
		return nil
	}
	return n.Contents.ContentSnapshot()
}

// saveContents saves the contents that crashed servers whenever they have changed, while this node
// is the owner.
func (n *Node) saveContents(ctx context.Context) {
	if n.ContentLog == nil || n.Contents == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.stored.changed:
		}
		for ctx.Err() == nil && n.isInTerm() {
			if err := n.saveChangedContents(ctx); err == nil {
				break
			}
			n.pauseUntilRecovery(ctx, maximumRelinkInterval)
		}
		// Several crashes are saved with one call.
		pause.For(ctx, reportInterval, nil)
	}
}

// saveChangedContents saves what differs from what the store has as far as this node knows.
func (n *Node) saveChangedContents(ctx context.Context) error {
	changed, cleared := n.contentChanges(n.Contents.AllContents())
	if len(changed) == 0 && len(cleared) == 0 {
		return nil
	}
	if err := n.ContentLog.Save(ctx, changed, cleared); err != nil {
		n.Logger.Info().Str("Event", "ContentsNotSaved").Int("Changed", len(changed)).Int("Cleared", len(cleared)).Err(err).Msg("failed to save the request contents that crashed servers in the store")
		return err
	}
	n.mu.Lock()
	for _, c := range cleared {
		delete(n.stored.crashes, c)
	}
	n.mu.Unlock()
	n.noteStoredContents(changed)
	return nil
}

// contentChanges returns the contents that the store lacks or has with fewer crashes, and those
// that it may have and that are cleared or too old to count.
func (n *Node) contentChanges(records []suspects.ContentRecord) (changed []suspects.ContentRecord, cleared []suspects.Content) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := map[suspects.Content]bool{}
	for _, r := range records {
		known[r.Content] = true
		if n.stored.crashes[r.Content] != len(r.Crashes) {
			changed = append(changed, r)
		}
	}
	for c := range n.stored.crashes {
		if !known[c] {
			cleared = append(cleared, c)
		}
	}
	return changed, cleared
}
