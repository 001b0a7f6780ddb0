package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
)

const (
	// currentShare is the share of Options.ConfigurationBound for which the configuration counts as
	// current after it was known to be the newest. The rest is for the response on its way.
	currentShare = 0.875
	// confirmationShare is the share of it after which this node asks the store again.
	confirmationShare = 0.7
	// linklessPollShare and ownerPollShare bound the wait of polls, as shares of it. The owner
	// confirms its configuration to the other nodes, which adds the interval of its updates.
	linklessPollShare = 0.55
	ownerPollShare    = 0.3
	minimumPollWait   = 250 * time.Millisecond
	// lateUpdateIntervals is the time between two updates of the owner, as a multiple of
	// Options.RegistrationsInterval, after which the second may have been on its way for long: this
	// node or the link stood still. Until updateSettleTime later no update confirms anything,
	// because those behind it, which may announce a newer configuration, are read by then.
	lateUpdateIntervals = 1.5
	updateSettleTime    = time.Second
	// doubtShare is the share of Options.RevokeBound for which a node goes on to accept keys after
	// it has learned of a newer configuration without the keys that it removed.
	doubtShare = 0.7
)

// keyState is what a node knows of API keys beyond its configuration. Node.mu guards it.
type keyState struct {
	// newestVersion is the newest version of the configuration that the owner has told of.
	newestVersion fleet.Version
	// steps are the newest changes of versions that this node has made or was told of, ascending.
	steps []hub.RevocationStep
	// announcedVersion is the version to which the last step leads that this node has announced as the
	// owner.
	announcedVersion fleet.Version
	// isConfirmed is set once the version in force was known to be the newest; confirmedAt is the
	// last uptime at which it was.
	isConfirmed bool
	confirmedAt time.Duration
	// ownerHeardAt is the uptime of the owner's last confirmation. Those before ownerTrustedFrom
	// do not count.
	ownerHeardAt, ownerTrustedFrom time.Duration
}

// revokedKeys are the keys that must not be accepted though a configuration has them. It is immutable.
type revokedKeys struct {
	// versions maps each key to the newest version that is known to lack it.
	versions map[fleet.KeyHash]fleet.Version
	// doubtfulVersion is a version whose removed keys are not all known; 0 if there is none. From
	// the uptime doubtfulFrom on, all keys of older versions count as removed.
	doubtfulVersion fleet.Version
	doubtfulFrom    time.Duration
}

// IsKeyRevoked implements platform.Keys. It takes no lock, because each request calls it.
func (n *Node) IsKeyRevoked(h fleet.KeyHash, v fleet.Version) bool {
	r := n.revoked.Load()
	if r == nil {
		return false
	}
	return r.versions[h] > v || r.doubtfulVersion > v && n.Uptime.Now() >= r.doubtfulFrom
}

// IsConfigurationCurrent implements platform.Keys.
func (n *Node) IsConfigurationCurrent(v fleet.Version) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config != nil && n.config.Version == v && n.isNewest() && n.isConfirmedWithin(currentShare)
}

// isNewest reports whether this node knows of no newer configuration than its own. The caller holds
// mu.
func (n *Node) isNewest() bool { return !n.isBehind() && n.keys.newestVersion <= n.version() }

// version returns the version in force; 0 if there is none. The caller holds mu.
func (n *Node) version() fleet.Version {
	if n.config == nil {
		return 0
	}
	return n.config.Version
}

// isConfirmedWithin reports whether the configuration was known to be the newest within a share of
// the bound. The caller holds mu.
func (n *Node) isConfirmedWithin(share float64) bool {
	return n.keys.isConfirmed && n.Uptime.Now()-n.keys.confirmedAt <= time.Duration(share*float64(n.ConfigurationBound))
}

// needsConfirmation reports whether this node must soon ask the store for a newer configuration, to be
// able to refuse unknown keys. The caller holds mu.
func (n *Node) needsConfirmation() bool {
	mayConfirm := n.restoration.mayConfirm(n.version(), n.Uptime.Now())
	return n.hasWorkspaces() && n.ConfigurationBound > 0 && mayConfirm && !n.isConfirmedWithin(confirmationShare)
}

// hasWorkspaces reports whether the configuration in force has workspaces. The caller holds mu.
func (n *Node) hasWorkspaces() bool { return n.config != nil && n.config.HasWorkspaces() }

// confirm records that no version newer than that in force existed at an uptime. The caller holds mu.
func (n *Node) confirm(at time.Duration) {
	if !n.restoration.mayConfirm(n.version(), at) {
		return
	}
	if !n.keys.isConfirmed || at > n.keys.confirmedAt {
		n.keys.isConfirmed, n.keys.confirmedAt = true, at
	}
}

// confirmByRead records what a read that has succeeded says of the version that is in force after it.
// The caller holds mu.
func (n *Node) confirmByRead(r configurationResult) {
	n.restoration.recordVersion(r.next.Era(), r.config)
	isOld := r.next < r.read.cursor || r.config != nil && r.config.Version < n.version()
	if !isOld {
		n.confirm(r.asOf)
	}
}

// keyPollWait returns how long a poll may wait where the configuration has workspaces. The caller
// holds mu.
func (n *Node) keyPollWait() time.Duration {
	share := linklessPollShare
	if n.retainsLease() {
		share = ownerPollShare
	}
	return min(pollWait, max(minimumPollWait, time.Duration(share*float64(n.ConfigurationBound))))
}

// recordRemovedKeys records the keys that a new configuration removes. The caller holds mu.
func (n *Node) recordRemovedKeys(previous, next *fleet.Configuration) {
	if previous == nil || !previous.HasWorkspaces() && !next.HasWorkspaces() {
		return
	}
	s := hub.RevocationStep{From: previous.Version, To: next.Version, Keys: previous.RemovedKeys(next)}
	if len(s.Keys) > hub.MaximumRevokedKeys {
		s.Keys, s.Incomplete = s.Keys[:hub.MaximumRevokedKeys], true
	}
	n.addStep(s)
}

// addStep adds a step, unless it is known, and returns whether it was added. The caller holds mu.
func (n *Node) addStep(s hub.RevocationStep) bool {
	i, found := slices.BinarySearchFunc(n.keys.steps, s, func(a, b hub.RevocationStep) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.From, b.From))
	})
	if found {
		return false
	}
	n.keys.steps = hub.NewestSteps(slices.Insert(slices.Clone(n.keys.steps), i, s))
	return true
}

// keyUpdate returns what this node as the owner tells the others of the keys, with the steps after a
// version. The caller holds mu.
func (n *Node) keyUpdate(after fleet.Version) hub.KeyUpdate {
	if !n.hasWorkspaces() {
		return hub.KeyUpdate{}
	}
	u := hub.KeyUpdate{Version: max(n.version(), n.keys.newestVersion)}
	for _, s := range n.keys.steps {
		if s.To > after {
			u.Steps = append(u.Steps, s)
		}
	}
	if n.keys.isConfirmed && n.isNewest() {
		u.Confirmed, u.ConfirmedAge = true, n.Uptime.Now()-n.keys.confirmedAt
	}
	return u
}

// newKeyUpdate is keyUpdate with the steps that were not announced yet. The caller holds mu.
func (n *Node) newKeyUpdate() hub.KeyUpdate {
	u := n.keyUpdate(n.keys.announcedVersion)
	if len(u.Steps) > 0 {
		n.keys.announcedVersion = u.Steps[len(u.Steps)-1].To
	}
	return u
}

// applyKeyUpdate applies what the owner tells of keys. The caller holds mu.
func (n *Node) applyKeyUpdate(u hub.KeyUpdate) {
	if u.Version == 0 {
		return
	}
	added, keys := false, 0
	for _, s := range u.Steps {
		if n.addStep(s) && s.To > n.version() {
			added, keys = true, keys+len(s.Keys)
		}
	}
	if added || u.Version > n.keys.newestVersion {
		n.keys.newestVersion = max(n.keys.newestVersion, u.Version)
		n.updateRevoked()
	}
	if keys > 0 {
		n.Logger.Info().Str("Event", "KeysRevoked").Int64("Version", int64(n.version())).Int64("Newest", int64(u.Version)).Int("Keys", keys).
			Msg("the owner has told of API keys that a newer configuration lacks")
	}
	if u.Confirmed {
		n.applyConfirmation(u)
	}
}

// applyConfirmation applies a confirmation of the owner. The caller holds mu.
func (n *Node) applyConfirmation(u hub.KeyUpdate) {
	now := n.Uptime.Now()
	if now-n.keys.ownerHeardAt > time.Duration(lateUpdateIntervals*float64(n.RegistrationsInterval)) {
		n.keys.ownerTrustedFrom = now + updateSettleTime
	}
	n.keys.ownerHeardAt = now
	if now >= n.keys.ownerTrustedFrom && n.config != nil && n.config.Version >= u.Version {
		n.confirm(now - u.ConfirmedAge)
	}
}

// updateRevoked computes the keys that must not be accepted from what this node knows. The caller
// holds mu.
func (n *Node) updateRevoked() {
	version := n.version()
	versions := map[fleet.KeyHash]fleet.Version{}
	// The keys that were removed since the version in force are known up to these versions.
	covered := map[fleet.Version]bool{version: true}
	for _, s := range n.keys.steps {
		if s.To <= version {
			continue
		}
		for _, h := range s.Keys {
			versions[h] = s.To
		}
		if covered[s.From] && !s.Incomplete {
			covered[s.To] = true
		}
	}
	r := &revokedKeys{versions: versions}
	if newest := n.keys.newestVersion; newest > version && !covered[newest] {
		r.doubtfulVersion, r.doubtfulFrom = newest, n.Uptime.Now()+time.Duration(doubtShare*float64(n.RevokeBound))
		if previous := n.revoked.Load(); previous != nil && previous.doubtfulVersion > version {
			r.doubtfulVersion, r.doubtfulFrom = previous.doubtfulVersion, previous.doubtfulFrom
		}
	}
	if len(versions) == 0 && r.doubtfulVersion == 0 {
		r = nil
	}
	n.revoked.Store(r)
}
