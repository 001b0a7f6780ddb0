// Package vmlist speaks to what the platform gives: the list of VMs and the
// weight store. Package vmlistlog speaks to its log.
package vmlist

import "github.com/parsleylug/parsleylug/domain"

// VMKind tells what runs on a VM.
type VMKind int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=VMKind -output=vmkind_string.go

// The kinds of VM.
const (
	Entry VMKind = iota
	Engine
	Service
)

// VM is one entry of the platform's list. The list lags: a VM may be gone before
// it leaves the list, and alive before it enters it.
type VM struct {
	// ID is never given to another VM. For an entry VM it is the NodeID of its
	// process; for the others it is the ServerID.
	ID   string
	Kind VMKind
	// Address is HOST:PORT: for an entry VM of its peer listener, else of the
	// backend server.
	Address string
	// AdminAddress is the HOST:PORT of an entry VM's operator listener.
	AdminAddress string
	Region       domain.Region
	Zone         domain.Zone
	// Memory and ChecksFences are set for engines.
	Memory       domain.Bytes
	ChecksFences bool
	// ServiceName is set for services.
	ServiceName domain.ServiceName
	// Leaving VMs are about to be reclaimed or stopped.
	Leaving bool
}
