package fleet

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/parsleylug/parsleylug/domain"
)

// maximumRank is the rank of the least urgent requests.
const maximumRank = 9

// KeyHash is the SHA-256 hash of an API key. Keys themselves are not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// QuotaUnit says what a quota counts.
type QuotaUnit int

// The units.
const (
	// Requests count as 1 each.
	Requests QuotaUnit = iota
	// PromptAndOutputTokens count a request as the sum of its prompt tokens and its largest
	// number of output tokens.
	PromptAndOutputTokens
)

// Quota limits what the requests of a workspace may use over all nodes: Rate per second and
// Burst beyond it, as a token bucket.
type Quota struct {
	Unit QuotaUnit
	// Rate is 0 if there is no limit.
	Rate, Burst float64
	// DefaultTokens is what a request counts as that does not state its tokens.
	DefaultTokens float64
}

// Workspace is a group of callers with API keys and a quota of their own.
type Workspace struct {
	Name domain.WorkspaceName
	// Priority ranks the requests of the workspace before those of workspaces with a larger
	// value; 0 is the highest.
	Priority int
	Quota    Quota
	Keys     []KeyHash
}

// HasWorkspaces reports whether requests need an API key, except on public routes.
func (c *Configuration) HasWorkspaces() bool { return len(c.Workspaces) > 0 }

// FindWorkspace returns the workspace that holds an API key, or nil if none does.
func (c *Configuration) FindWorkspace(h KeyHash) *Workspace { return c.workspacesByKey[h] }

// RemovedKeys returns the API keys of the configuration that the newer one does not have. It returns
// none if the newer one needs no keys.
func (c *Configuration) RemovedKeys(newer *Configuration) []KeyHash {
	if !newer.HasWorkspaces() {
		return nil
	}
	var removed []KeyHash
	for i := range c.Workspaces {
		for _, h := range c.Workspaces[i].Keys {
			if newer.FindWorkspace(h) == nil {
				removed = append(removed, h)
			}
		}
	}
	return removed
}

// indexWorkspaces computes the derived fields of the workspaces.
func (c *Configuration) indexWorkspaces() {
	c.workspacesByKey = make(map[KeyHash]*Workspace, len(c.Workspaces))
	c.workspacePriorities, c.routePriorities = nil, nil
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		c.workspacePriorities = append(c.workspacePriorities, w.Priority)
		for _, h := range w.Keys {
			c.workspacesByKey[h] = w
		}
	}
	for i := range c.Routes {
		c.routePriorities = append(c.routePriorities, c.Routes[i].Priority)
	}
	c.workspacePriorities = sortedDistinct(c.workspacePriorities)
	c.routePriorities = sortedDistinct(c.routePriorities)
}

func sortedDistinct(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}

// Rank returns the rank of a request from 0, the most urgent, to 9. The workspace's priority goes
// before the route's. A nil workspace, on a public route, counts as one with the highest priority.
// If the configuration has more than ten pairs of priorities, neighboring pairs share a rank.
func (c *Configuration) Rank(w *Workspace, r *Route) int {
	if !c.HasWorkspaces() {
		return min(maximumRank, max(0, r.Priority))
	}
	workspaceClass := 0
	if w != nil {
		workspaceClass = position(c.workspacePriorities, w.Priority)
	}
	classes := max(1, len(c.workspacePriorities)*len(c.routePriorities))
	class := workspaceClass*len(c.routePriorities) + position(c.routePriorities, r.Priority)
	if classes <= maximumRank+1 {
		return min(maximumRank, class)
	}
	return min(maximumRank, class*(maximumRank+1)/classes)
}

// position returns the number of values in a sorted list that are smaller than v.
func position(sorted []int, v int) int {
	i, _ := slices.BinarySearchFunc(sorted, v, cmp.Compare[int])
	return i
}
