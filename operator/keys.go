package operator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// AccessKey describes a key of a team. It leaves out the hash.
type AccessKey struct {
	Team    string
	Name    string
	Role    string
	Expires string `json:",omitempty"`
	Expired bool
}

// AccessKeys is a list of keys.
type AccessKeys struct {
	Keys []AccessKey
}

// NewKey is the request body that sets a key. It holds only the hash, so that the key
// never leaves the machine that generated it.
type NewKey struct {
	// Hash is the SHA-256 of the key in hexadecimal.
	Hash string
	// Role is ReadOnly, Caller or Operator.
	Role string
	// Expires is a time in RFC 3339, or empty for never.
	Expires string `json:",omitempty"`
}

// listKeys handles the request for the keys of every team.
func (a *API) listKeys(context.Context, any) (any, error) {
	out := AccessKeys{Keys: []AccessKey{}}
	now := time.Now()
	a.deps.System.View(func(s *fold.State) {
		for _, t := range s.Teams() {
			for _, k := range t.Keys {
				out.Keys = append(out.Keys, accessKey(t.Name, k, now))
			}
		}
	})
	return out, nil
}

func accessKey(t domain.TeamName, k configuration.Key, now time.Time) AccessKey {
	out := AccessKey{Team: string(t), Name: k.Name, Role: k.Role.String()}
	if !k.Expires.IsZero() {
		out.Expires = k.Expires.Format(time.RFC3339)
		out.Expired = !now.Before(k.Expires)
	}
	return out
}

// putKey handles the request to add or replace a key of a team.
func (a *API) putKey(ctx context.Context, request any) (any, error) {
	in := request.(authorizedRequest)
	key, err := decodeKey(in)
	if err != nil {
		return nil, err
	}
	return a.changeTeam(ctx, in, func(t *configuration.Team) error {
		t.Keys = append(withoutKey(t.Keys, key.Name), key)
		return nil
	})
}

// deleteKey handles the request to remove a key of a team.
func (a *API) deleteKey(ctx context.Context, request any) (any, error) {
	in := request.(authorizedRequest)
	name := in.path("key")
	return a.changeTeam(ctx, in, func(t *configuration.Team) error {
		remaining := withoutKey(t.Keys, name)
		if len(remaining) == len(t.Keys) {
			return refuse(UnknownObject, "the team has no key "+printable(name))
		}
		t.Keys = remaining
		return nil
	})
}

func withoutKey(keys []configuration.Key, name string) []configuration.Key {
	return slices.DeleteFunc(slices.Clone(keys), func(k configuration.Key) bool { return k.Name == name })
}

func decodeKey(in authorizedRequest) (configuration.Key, error) {
	var wire NewKey
	d := newStrictDecoder(in.body)
	if err := d.Decode(&wire); err != nil {
		return configuration.Key{}, refuse(BadRequest, "the body must be {\"Hash\":…,\"Role\":…,\"Expires\":…}: "+err.Error())
	}
	if _, err := hex.DecodeString(wire.Hash); err != nil {
		return configuration.Key{}, refuse(BadRequest, "Hash must be hexadecimal")
	}
	// The configuration codec validates keys, so the key goes through it as the only
	// key of a team record.
	raw, err := json.Marshal(map[string]any{
		"SchemaVersion": configuration.CurrentSchemaVersion,
		"Team": map[string]any{"Name": in.path("name"), "Keys": []map[string]string{
			{"Name": in.path("key"), "Hash": wire.Hash, "Role": wire.Role, "Expires": wire.Expires},
		}},
	})
	if err != nil {
		return configuration.Key{}, err
	}
	in.body, in.ifMatch = raw, ""
	r, err := decodeRecord(in)
	if err != nil {
		return configuration.Key{}, err
	}
	return r.Team.Keys[0], nil
}

// changeTeam applies edit to the current team and writes the result, with the version
// that it read as the precondition.
func (a *API) changeTeam(ctx context.Context, in authorizedRequest, edit func(*configuration.Team) error) (any, error) {
	var team configuration.Team
	var version domain.Offset
	a.deps.System.View(func(s *fold.State) {
		for _, t := range s.Teams() {
			if string(t.Name) == in.path("name") {
				team = t
			}
		}
		version = s.Version(configuration.KindTeam, in.path("name"))
	})
	if team.Name == "" {
		return nil, refuse(UnknownObject, "Team "+printable(in.path("name"))+" is not configured")
	}
	if err := edit(&team); err != nil {
		return nil, err
	}
	r := configuration.Record{Team: &team, Expect: &version}
	if err := setPrecondition(&r, in); err != nil {
		return nil, err
	}
	return a.change(ctx, in.who, []configuration.Record{r}, in.options)
}
