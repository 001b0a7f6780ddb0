package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// access is the authorization that a route requires.
type access int

const (
	// accessPublic requires no key.
	accessPublic access = iota
	// accessAnyKey admits every valid key. The handler limits a key with the role Caller
	// to the data of its team.
	accessAnyKey
	// accessRead requires the role ReadOnly or Operator.
	accessRead
	// accessWrite requires the role Operator.
	accessWrite
)

// identity is the authenticated sender of a request. It has no team where keys are not
// required and the request has none.
type identity struct {
	team domain.TeamName
	key  string
	role configuration.Role
}

// author returns the sender's name in the history and in log lines.
func (i identity) author() string {
	if i.team == "" {
		return "anonymous"
	}
	return string(i.team) + "/" + i.key
}

// allows reports whether a role may use a route.
func (a access) allows(r configuration.Role) bool {
	switch a {
	case accessPublic, accessAnyKey:
		return true
	case accessRead:
		return r == configuration.ReadOnly || r == configuration.Operator
	case accessWrite:
	}
	return r == configuration.Operator
}

// authenticate finds the team and key of a request. Where the deployment requires no
// keys, a request without one has the role Operator.
func authenticate(s *fold.State, r *http.Request, now time.Time) (identity, error) {
	key, hasKey := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !hasKey && !s.Deployment().RequireKeys {
		return identity{role: configuration.Operator}, nil
	}
	if !hasKey {
		return identity{}, refuse(Unauthenticated, "a key is needed: send Authorization: Bearer KEY")
	}
	team, found, ok := findKey(s.Teams(), sha256.Sum256([]byte(key)))
	if !ok {
		return identity{}, refuse(Unauthenticated, "the key is not known")
	}
	who := identity{team: team, key: found.Name, role: found.Role}
	if !found.Expires.IsZero() && !now.Before(found.Expires) {
		return who, refuse(KeyExpired, "the key "+who.author()+" expired at "+found.Expires.Format(time.RFC3339))
	}
	return who, nil
}

// findKey returns the key with a hash. It compares all keys, each in constant time, so
// that its duration does not depend on which key matches.
func findKey(teams []configuration.Team, hash [32]byte) (domain.TeamName, configuration.Key, bool) {
	var team domain.TeamName
	var key configuration.Key
	found := false
	for _, t := range teams {
		for _, k := range t.Keys {
			if subtle.ConstantTimeCompare(k.Hash[:], hash[:]) == 1 {
				team, key, found = t.Name, k, true
			}
		}
	}
	return team, key, found
}
