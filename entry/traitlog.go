package entry

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/suspects"
)

// TraitLog keeps the refused traits of requests in the platform's store, so that a node learns of
// them that starts while no owner can tell it.
type TraitLog interface {
	// Load returns the traits that are refused now.
	Load(ctx context.Context) ([]suspects.TraitRefusal, error)
	// Save records refused traits, and removes those whose refusal has ended.
	Save(ctx context.Context, refused []suspects.TraitRefusal, ended []suspects.Trait) error
}

const (
	// maximumTraitLoad is how long a node that starts waits for the refused traits before it
	// is ready.
	maximumTraitLoad = 3 * time.Second
	// maximumStoredTraits bounds the traits that a node knows to be in the store.
	maximumStoredTraits = 4096
)

// loadTraits reads the refused traits when the node starts, and again after the store was restored.
// The node is ready after the first
// attempt, or after maximumTraitLoad; it then learns of them later.
func (n *Node) loadTraits(ctx context.Context) {
	if n.TraitLog == nil || n.Traits == nil {
		return
	}
	timer := time.AfterFunc(maximumTraitLoad, n.endTraitLoad)
	defer timer.Stop()
	n.readTraits(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.traitsLost:
		}
		n.readTraits(ctx)
		// The owner writes what the restored store lacks.
		signal(n.traitsChanged)
	}
}

// readTraits reads the refused traits, until a read succeeds.
func (n *Node) readTraits(ctx context.Context) {
	for ctx.Err() == nil {
		refusals, err := n.TraitLog.Load(ctx)
		if err == nil {
			n.forgetStored()
			n.noteStored(refusals)
			n.Traits.ApplyTraitReport(suspects.TraitReport{Refusals: refusals})
		}
		n.endTraitLoad()
		if err == nil {
			return
		}
		n.Logger.Info().Str("Event", "TraitsNotLoaded").Err(err).Msg("failed to read the refused traits from the store")
		n.pauseUntilRecovery(ctx, maximumRelinkInterval)
	}
}

// endTraitLoad records that the node need not wait for the refused traits any longer.
func (n *Node) endTraitLoad() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.traitsLoaded = true
}

// forgetStored records that it is unknown which refusals the store has.
func (n *Node) forgetStored() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forgetStoredLocked()
}

// forgetStoredLocked is forgetStored for a caller that holds mu.
func (n *Node) forgetStoredLocked() {
	for t := range n.storedTraits {
		n.storedTraits[t] = 0
	}
}

// noteStored records which refusals the store has.
func (n *Node) noteStored(refusals []suspects.TraitRefusal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notePossiblyStored(refusals)
	for _, r := range refusals {
		if _, ok := n.storedTraits[r.Trait]; ok {
			n.storedTraits[r.Trait] = r.Number
		}
	}
}

// notePossiblyStored records refusals that the store may have. The caller holds mu.
func (n *Node) notePossiblyStored(refusals []suspects.TraitRefusal) {
	if n.storedTraits == nil {
		n.storedTraits = map[suspects.Trait]int{}
	}
	for _, r := range refusals {
		if _, ok := n.storedTraits[r.Trait]; !ok && len(n.storedTraits) < maximumStoredTraits {
			n.storedTraits[r.Trait] = 0
		}
	}
}

// saveTraits saves the refused traits whenever they have changed, while this node is the owner.
func (n *Node) saveTraits(ctx context.Context) {
	if n.TraitLog == nil || n.Traits == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.traitsChanged:
		}
		for ctx.Err() == nil && n.isInTerm() {
			if err := n.saveChangedTraits(ctx); err == nil {
				break
			}
			n.pauseUntilRecovery(ctx, maximumRelinkInterval)
		}
		// Several crashes are saved with one call.
		pause.For(ctx, reportInterval, nil)
	}
}

// isInTerm reports whether this node's term as the owner has begun. A node that was paused
// asks the lease, which may have run out meanwhile.
func (n *Node) isInTerm() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, hasBegun := n.lease.Term(n.Uptime.Now())
	return hasBegun
}

// saveChangedTraits saves what differs from what the store has as far as this node knows, and
// removes what is refused no longer, also if a former owner has saved it.
func (n *Node) saveChangedTraits(ctx context.Context) error {
	era := n.storeEra()
	refusals := n.Traits.TraitSnapshot().Refusals
	changed, ended := n.traitChanges(refusals)
	if len(changed) == 0 && len(ended) == 0 {
		return nil
	}
	if err := n.TraitLog.Save(ctx, changed, ended); err != nil {
		n.Logger.Info().Str("Event", "TraitsNotSaved").Int("Refused", len(changed)).Int("Ended", len(ended)).Err(err).Msg("failed to save the refused traits in the store")
		return err
	}
	if n.storeEra() != era {
		// The restored store may lack them. They are saved again after the next read.
		return nil
	}
	n.mu.Lock()
	for _, t := range ended {
		delete(n.storedTraits, t)
	}
	n.mu.Unlock()
	n.noteStored(changed)
	return nil
}

// traitChanges returns the refusals that the store lacks or has with another number, and the
// traits that it may have and that are refused no longer.
func (n *Node) traitChanges(refusals []suspects.TraitRefusal) (changed []suspects.TraitRefusal, ended []suspects.Trait) {
	n.mu.Lock()
	defer n.mu.Unlock()
	refused := map[suspects.Trait]bool{}
	for _, r := range refusals {
		refused[r.Trait] = true
		if n.storedTraits[r.Trait] != r.Number {
			changed = append(changed, r)
		}
	}
	for t := range n.storedTraits {
		if !refused[t] {
			ended = append(ended, t)
		}
	}
	return changed, ended
}
