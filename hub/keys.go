package hub

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
)

// The bounds of what one message says of removed API keys: 16 KB of hashes, which an owner sends to
// 940 nodes in about 2 s when all link anew.
const (
	MaximumRevocationSteps = 32
	MaximumRevokedKeys     = 512
)

const (
	// maximumVersion is the largest version of a configuration that a message may state.
	maximumVersion = 1 << 53
)

// KeyUpdate says which API keys the newest versions of the configuration removed, and when the owner
// last knew that its version was the newest. The zero KeyUpdate says nothing.
type KeyUpdate struct {
	// Version is the newest version of the configuration that the owner knows; 0 if it knows none.
	Version fleet.Version
	// Steps are the newest changes of versions, in ascending order.
	Steps []RevocationStep
	// Confirmed is set if the store had no version newer than Version ConfirmedAge ago.
	Confirmed    bool
	ConfirmedAge time.Duration
}

// RevocationStep is a change of the configuration from one version to a newer one.
type RevocationStep struct {
	From, To fleet.Version
	// Keys are the keys of version From that version To lacks.
	Keys []fleet.KeyHash
	// Incomplete is set if there are more than MaximumRevokedKeys, of which Keys holds some.
	Incomplete bool
}

// NewestSteps returns the last steps of a list that fit into one message.
func NewestSteps(steps []RevocationStep) []RevocationStep {
	first, keys := len(steps), 0
	for first > 0 && len(steps)-first < MaximumRevocationSteps {
		keys += len(steps[first-1].Keys)
		if keys > MaximumRevokedKeys {
			break
		}
		first--
	}
	return slices.Clip(steps[first:])
}

// followedBy returns the key update with the effect of u and then of next.
func (u KeyUpdate) followedBy(next KeyUpdate) KeyUpdate {
	if next.Version < u.Version {
		return u
	}
	if !next.Confirmed && next.Version == u.Version {
		next.Confirmed, next.ConfirmedAge = u.Confirmed, u.ConfirmedAge
	}
	next.Steps = NewestSteps(append(slices.Clone(u.Steps), next.Steps...))
	return next
}

// wireKeys is a KeyUpdate; nil if it says nothing. A negative age means that it is not confirmed.
type wireKeys struct {
	_               struct{} `cbor:",toarray"`
	Version         int64
	AgeMilliseconds int64
	Steps           []wireRevocationStep
}

type wireRevocationStep struct {
	_          struct{} `cbor:",toarray"`
	From, To   int64
	Incomplete bool
	// Keys are the hashes one after the other.
	Keys []byte
}

func encodeKeys(u KeyUpdate) *wireKeys {
	if u.Version == 0 {
		return nil
	}
	w := &wireKeys{Version: int64(u.Version), AgeMilliseconds: -1}
	if u.Confirmed {
		w.AgeMilliseconds = u.ConfirmedAge.Milliseconds() + 1
	}
	for _, s := range u.Steps {
		step := wireRevocationStep{From: int64(s.From), To: int64(s.To), Incomplete: s.Incomplete, Keys: make([]byte, 0, len(s.Keys)*len(fleet.KeyHash{}))}
		for _, h := range s.Keys {
			step.Keys = append(step.Keys, h[:]...)
		}
		w.Steps = append(w.Steps, step)
	}
	return w
}

// decode returns the key update, or one that says nothing if a part of it is out of range.
func (w *wireKeys) decode() KeyUpdate {
	if w == nil || w.Version <= 0 || w.Version > maximumVersion || len(w.Steps) > MaximumRevocationSteps {
		return KeyUpdate{}
	}
	u := KeyUpdate{Version: fleet.Version(w.Version)}
	if age, ok := decodeAge(w.AgeMilliseconds); ok {
		u.Confirmed, u.ConfirmedAge = true, age
	}
	keys := 0
	for _, s := range w.Steps {
		keys += len(s.Keys) / len(fleet.KeyHash{})
		if s.From < 0 || s.To <= s.From || s.To > w.Version || len(s.Keys)%len(fleet.KeyHash{}) != 0 || keys > MaximumRevokedKeys {
			return KeyUpdate{}
		}
		step := RevocationStep{From: fleet.Version(s.From), To: fleet.Version(s.To), Incomplete: s.Incomplete}
		for h := range slices.Chunk(s.Keys, len(fleet.KeyHash{})) {
			step.Keys = append(step.Keys, fleet.KeyHash(h))
		}
		u.Steps = append(u.Steps, step)
	}
	return u
}
