// Package vmlist is the client of the platform's VM list, an HTTP service with the
// addresses of all entry VMs, engines and services. A node reads the list to find its
// peers and the backend servers, and announces its own VM on it. The package never checks
// whether a listed VM is alive.
package vmlist

import "github.com/parsleylug/parsleylug/domain"

// VMKind is the kind of program that runs on a VM.
type VMKind int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=VMKind -output=vmkind_string.go

// The kinds of VM.
const (
	Entry VMKind = iota
	Engine
	Service
)

// VM is one entry of the platform's list. The list is eventually consistent: it may hold
// a VM that no longer exists and lack one that already runs.
type VM struct {
	// ID is never reused for another VM. For an entry VM it is the NodeID of its
	// process; for the others it is the ServerID.
	ID   string
	Kind VMKind
	// Address is the HOST:PORT of an entry VM's peer listener or of a backend server.
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
	// Leaving is set for VMs that are about to be reclaimed or stopped.
	Leaving bool
}
