package node

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/verdict"
)

// TestIsCoordinatorRefusal checks that only the refusal of a running coordinator is final;
// after any other error the requester tries the next node.
func TestIsCoordinatorRefusal(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want bool
	}{
		{"no error", nil, false},
		{"broken link", errors.New("closed"), false},
		{"may have run", verdict.UnknownOutcome(verdict.NoCapacity, "", nil), false},
		{"no room", verdict.Refuse(verdict.NoCapacity, ""), true},
		{"too late", verdict.Refuse(verdict.DeadlineTooShort, ""), true},
		{"stopping", verdict.Refuse(verdict.Draining, ""), false},
	} {
		if got := isCoordinatorRefusal(c.err); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
