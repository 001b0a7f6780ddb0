package commands

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// TeamCommand shows and changes teams.
type TeamCommand struct {
	Connection `embed:""`
	List       TeamListCommand   `cmd:"" help:"List the teams."`
	Set        TeamSetCommand    `cmd:"" help:"Add a team or change the given fields of one."`
	Remove     TeamRemoveCommand `cmd:"" help:"Remove a team and its keys."`
}

// TeamListCommand lists the teams.
type TeamListCommand struct{}

// Run prints one team per line.
func (c *TeamListCommand) Run(d *Deps, conn *Connection) error {
	return conn.list(d, "teams", []string{"TEAM", "KEYS", "REQUESTS/S", "TOKENS/MIN", "CONCURRENCY", "PRIORITY", "MODELS", "CHANGED"}, func(r configuration.Record, v uint64) []string {
		t := r.Team
		return []string{
			string(t.Name), strconv.Itoa(len(t.Keys)), formatLimit(t.RequestsPerSecond), formatLimit(float64(t.TokensPerMinute)),
			formatLimit(float64(t.Concurrency)), strconv.Itoa(int(t.Priority)), orAll(joinNames(t.Models)), formatVersion(v),
		}
	})
}

func formatLimit(v float64) string {
	if v == 0 {
		return "none"
	}
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// TeamSetCommand adds or changes a team.
type TeamSetCommand struct {
	ChangeFlags       `embed:""`
	Name              string    `arg:"" help:"Name of the team."`
	RequestsPerSecond *float64  `help:"Limit over all nodes; 0 for none." env:"-"`
	TokensPerMinute   *int64    `help:"Limit over all nodes; 0 for none." env:"-"`
	Concurrency       *int      `help:"Limit over all nodes; 0 for none." env:"-"`
	Priority          *int      `help:"Order among waiting requests; a larger one goes first." env:"-"`
	Share             *float64  `help:"Weight among waiting requests." env:"-"`
	Models            *[]string `help:"Models that the team may call; an empty value means all." env:"-"`
}

// Run reads the team, changes it and writes it back, on the precondition that its version
// has not changed in between.
func (c *TeamSetCommand) Run(d *Deps, conn *Connection) error {
	empty := configuration.Record{Team: &configuration.Team{Name: domain.TeamName(c.Name)}}
	return conn.edit(d, []string{"teams", c.Name}, c.ChangeFlags, empty, true, func(r *configuration.Record) error {
		if r.Team == nil {
			return errors.New("the node's response contains no team")
		}
		c.apply(r.Team)
		return nil
	})
}

func (c *TeamSetCommand) apply(t *configuration.Team) {
	if c.RequestsPerSecond != nil {
		t.RequestsPerSecond = *c.RequestsPerSecond
	}
	if c.TokensPerMinute != nil {
		t.TokensPerMinute = domain.Tokens(*c.TokensPerMinute)
	}
	if c.Concurrency != nil {
		t.Concurrency = *c.Concurrency
	}
	if c.Priority != nil {
		t.Priority = domain.Priority(*c.Priority)
	}
	if c.Share != nil {
		t.Share = *c.Share
	}
	if c.Models != nil {
		t.Models = nil
		for _, m := range *c.Models {
			t.Models = append(t.Models, domain.ModelName(m))
		}
	}
}

// TeamRemoveCommand removes a team.
type TeamRemoveCommand struct {
	ChangeFlags `embed:""`
	Name        string `arg:"" help:"Name of the team."`
}

// Run removes the team.
func (c *TeamRemoveCommand) Run(d *Deps, conn *Connection) error {
	return conn.change(d, c.ChangeFlags, http.MethodDelete, nil, "teams", c.Name)
}
