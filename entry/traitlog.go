package entry

import (
	"context"

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

// loadTraits reads the refused traits when the node starts. The node is ready after the first
// attempt; if that fails, the node learns of them later.
func (n *Node) loadTraits(ctx context.Context) {
	if n.TraitLog == nil || n.Traits == nil {
		return
	}
	for ctx.Err() == nil {
		refusals, err := n.TraitLog.Load(ctx)
		if err == nil {
			n.Traits.ApplyTraitReport(suspects.TraitReport{Refusals: refusals})
		}
		n.mu.Lock()
		n.traitsLoaded = true
		n.mu.Unlock()
		if err == nil {
			return
		}
		n.Logger.Info().Str("Event", "TraitsNotLoaded").Err(err).Msg("failed to read the refused traits from the store")
		n.pauseUntilRecovery(ctx, maximumRelinkInterval)
	}
}

// saveTraits saves the refused traits whenever they have changed, while this node is the owner.
func (n *Node) saveTraits(ctx context.Context) {
	if n.TraitLog == nil || n.Traits == nil {
		return
	}
	saved := map[suspects.Trait]int{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.traitsChanged:
		}
		for ctx.Err() == nil && n.mayOrder() {
			if err := n.saveChangedTraits(ctx, saved); err == nil {
				break
			}
			n.pauseUntilRecovery(ctx, maximumRelinkInterval)
		}
		// Several crashes are saved with one call.
		pause.For(ctx, reportInterval, nil)
	}
}

// mayOrder reports whether this node is the owner and may issue orders. A node that was paused
// asks the lease, which may have run out meanwhile.
func (n *Node) mayOrder() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, valid := n.lease.Fence(n.Uptime.Now())
	return valid
}

// saveChangedTraits saves what differs from what this node has saved, which is the number of
// refusals of each trait.
func (n *Node) saveChangedTraits(ctx context.Context, saved map[suspects.Trait]int) error {
	var changed []suspects.TraitRefusal
	refused := map[suspects.Trait]int{}
	for _, r := range n.Traits.TraitSnapshot().Refusals {
		refused[r.Trait] = r.Number
		if saved[r.Trait] != r.Number {
			changed = append(changed, r)
		}
	}
	var ended []suspects.Trait
	for t := range saved {
		if refused[t] == 0 {
			ended = append(ended, t)
		}
	}
	if len(changed) == 0 && len(ended) == 0 {
		return nil
	}
	if err := n.TraitLog.Save(ctx, changed, ended); err != nil {
		n.Logger.Info().Str("Event", "TraitsNotSaved").Int("Refused", len(changed)).Int("Ended", len(ended)).Err(err).Msg("failed to save the refused traits in the store")
		return err
	}
	clear(saved)
	for t, number := range refused {
		saved[t] = number
	}
	return nil
}
