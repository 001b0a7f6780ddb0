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

// access is what a route asks of a key.
type access int

const (
	// accessAny needs no key.
	accessAny access = iota
	// accessOwn is for every key; a caller's key sees its own team only.
	accessOwn
	// accessRead is for the roles ReadOnly and Operator.
	accessRead
	// accessWrite is for the role Operator.
	accessWrite
)

// identity is who sent a request.
type identity struct {
	team domain.TeamName
	key  string
	role configuration.Role
}

// author returns the name that the history shows.
func (i identity) author() string {
	if i.team == "" {
		return "anonymous"
	}
	return string(i.team) + "/" + i.key
}

// allows tells whether a role may use a route.
func (a access) allows(r configuration.Role) bool {
	switch a {
	case accessAny, accessOwn:
		return true
	case accessRead:
		return r == configuration.ReadOnly || r == configuration.Operator
	case accessWrite:
	}
	return r == configuration.Operator
}

// identify finds the key of a request. Where the deployment requires no keys, a
// request without one counts as an operator's.
func identify(s *fold.State, r *http.Request, now time.Time) (identity, error) {
	key, given := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !given && !s.Deployment().RequireKeys {
		return identity{role: configuration.Operator}, nil
	}
	if !given {
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

// findKey compares every key in constant time, whether or not one was found.
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
