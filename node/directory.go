package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/vmlist"
)

// directoryInterval is how often the platform's list is read.
const directoryInterval = time.Second

// Directory caches the platform's list of VMs. The zero Directory has no VM. It is safe for
// concurrent use.
type Directory struct {
	mu sync.RWMutex
	// wasRead is true after the first successful read of the list.
	wasRead bool
	// vms is the list as last read, by VM id.
	vms map[string]vmlist.VM
	// addresses holds the last address of every VM that any read of the list has shown, by
	// VM id.
	addresses map[string]string
}

// Run refreshes the list each directoryInterval until ctx ends.
func (d *Directory) Run(ctx context.Context, l VMLister) {
	t := time.NewTicker(directoryInterval)
	defer t.Stop()
	for {
		d.Refresh(ctx, l)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Refresh reads the list once. If the read fails, the cached list stays, because a failed
// read proves nothing about any VM.
func (d *Directory) Refresh(ctx context.Context, l VMLister) {
	ctx, cancel := context.WithTimeout(ctx, 2*directoryInterval)
	defer cancel()
	vms, err := l.List(ctx)
	if err != nil {
		return
	}
	m := make(map[string]vmlist.VM, len(vms))
	for _, v := range vms {
		m[v.ID] = v
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addresses == nil {
		d.addresses = make(map[string]string)
	}
	for id, v := range m {
		d.addresses[id] = v.Address
	}
	d.vms = m
	d.wasRead = true
}

// WasRead reports whether the list has been read successfully at least once.
func (d *Directory) WasRead() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.wasRead
}

// Server returns the VM of a backend server.
func (d *Directory) Server(s domain.ServerID) (vmlist.VM, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	v, ok := d.vms[string(s)]
	return v, ok && v.Kind != vmlist.Entry
}

// Address returns the current or last known address of a backend server. A server that is
// no longer listed may still respond there.
func (d *Directory) Address(s domain.ServerID) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	a, ok := d.addresses[string(s)]
	return a, ok
}

// ListsNode reports whether the list has the VM of a node.
func (d *Directory) ListsNode(n domain.NodeID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	_, ok := d.vms[string(n)]
	return ok
}

// VMsOfKind returns the VMs of a kind, sorted by ID.
func (d *Directory) VMsOfKind(k vmlist.VMKind) []vmlist.VM {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []vmlist.VM
	for _, id := range slices.Sorted(maps.Keys(d.vms)) {
		if d.vms[id].Kind == k {
			out = append(out, d.vms[id])
		}
	}
	return out
}

// Seeds returns the listed nodes as peer.Members. The mesh connects to them first.
func (d *Directory) Seeds() []peer.Member {
	var out []peer.Member
	for _, v := range d.VMsOfKind(vmlist.Entry) {
		out = append(out, peer.Member{
			Node:         domain.NodeID(v.ID),
			Address:      v.Address,
			AdminAddress: v.AdminAddress,
			Region:       v.Region,
			Zone:         v.Zone,
			Leaving:      v.Leaving,
		})
	}
	return out
}
