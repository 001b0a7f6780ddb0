package operator

import (
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// checkLockout returns an error where the change would leave keys required and no valid
// key with the role Operator, since nobody could undo it through the API.
func (a *API) checkLockout(records []configuration.Record) error {
	locked := false
	a.deps.System.View(func(s *fold.State) { locked = locksOut(s, records, time.Now()) })
	if !locked {
		return nil
	}
	return refuse(BadRequest, "the change would lock every operator out: keys would be required and no team have a valid key with the role Operator")
}

func locksOut(s *fold.State, records []configuration.Record, now time.Time) bool {
	required := s.Deployment().RequireKeys
	teams := map[domain.TeamName]configuration.Team{}
	for _, t := range s.Teams() {
		teams[t.Name] = t
	}
	for _, r := range records {
		switch {
		case r.Deployment != nil:
			required = r.Deployment.RequireKeys
		case r.Team != nil:
			teams[r.Team.Name] = *r.Team
		case r.Remove != nil && r.Remove.Kind == configuration.KindTeam:
			delete(teams, domain.TeamName(r.Remove.Name))
		}
	}
	if !required {
		return false
	}
	for _, t := range teams {
		if hasOperatorKey(t, now) {
			return false
		}
	}
	return true
}

func hasOperatorKey(t configuration.Team, now time.Time) bool {
	for _, k := range t.Keys {
		if k.Role == configuration.Operator && (k.Expires.IsZero() || now.Before(k.Expires)) {
			return true
		}
	}
	return false
}
