package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/vmlist"
)

// The planned size of the cluster: nodes, engines, and the regions over which both are spread.
const (
	plannedNodes   = 940
	plannedServers = 1000
	plannedRegions = 6
)

// plannedMesh has the planned number of nodes as members.
type plannedMesh struct {
	fakeMesh
	allMembers []peer.Member
}

func (m *plannedMesh) Members() []peer.Member { return m.allMembers }

// plannedList lists the planned number of engines and nodes.
type plannedList struct{ vms []vmlist.VM }

func (l plannedList) List(context.Context) ([]vmlist.VM, error) { return l.vms, nil }

// BenchmarkCapacityLeaseReconciliation measures one reconciliation of a node's LeaseManager
// over the leases of all planned servers. Each server has a live owner, which is another node.
func BenchmarkCapacityLeaseReconciliation(b *testing.B) {
	m := &plannedMesh{}
	var l plannedList
	var leases []fold.Record
	for i := range plannedNodes {
		r := domain.Region(fmt.Sprintf("region-%d", i%plannedRegions))
		m.allMembers = append(m.allMembers, peer.Member{Node: domain.NodeID(fmt.Sprintf("node-%03d", i)), Region: r})
		l.vms = append(l.vms, vmlist.VM{ID: fmt.Sprintf("node-%03d", i), Kind: vmlist.Entry, Region: r})
	}
	for i := range plannedServers {
		id := fmt.Sprintf("engine-%04d", i)
		r := domain.Region(fmt.Sprintf("region-%d", i%plannedRegions))
		l.vms = append(l.vms, vmlist.VM{ID: id, Kind: vmlist.Engine, Address: id, Region: r, Memory: 64})
		owner := m.allMembers[1+i%(plannedNodes-1)].Node
		leases = append(leases, fold.LeaseTaken{Server: domain.ServerID(id), Owner: owner, Facts: fold.ServerFacts{Region: r, Memory: 64}})
	}
	log := &fakeLog{}
	for i, r := range leases {
		log.batches = append(log.batches, fold.Batch{Node: r.(fold.LeaseTaken).Owner, First: domain.Sequence(1 + i/(plannedNodes-1)), Records: []fold.Record{r}})
	}
	d := &Deps{
		Self: m.allMembers[0], State: &fakeState{log: log, node: m.allMembers[0].Node}, Mesh: m, Directory: &Directory{},
		Reports: &Reports{}, Logger: zerolog.Nop(), IsLeaving: func() bool { return false }, HasCompleteView: func() bool { return true },
		IsLogDown: func() bool { return false },
	}
	d.Directory.Refresh(b.Context(), l)
	leaseManager := NewLeaseManager(d, nil)
	if got := len(leaseManager.leases()); got != plannedServers {
		b.Fatalf("got %d leases, want %d", got, plannedServers)
	}
	b.ResetTimer()
	for b.Loop() {
		// Only one reconciliation in each liveLeaseCheckInterval hashes the servers.
		leaseManager.reconcile(b.Context())
	}
	perReconciliation := b.Elapsed() / time.Duration(b.N)
	b.ReportMetric(float64(perReconciliation)/float64(leaseReconcileInterval), "core")
}
