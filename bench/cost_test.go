package bench

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/membership"
	"github.com/parsleylug/parsleylug/node"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/platformlog"
	"github.com/parsleylug/parsleylug/rendezvous"
	"github.com/parsleylug/parsleylug/reports"
)

// The planned size.
const (
	plannedNodes    = 940
	plannedModels   = 1500
	plannedAdapters = 4900
	plannedReplicas = 10000
	plannedServers  = 1000
	// serverShiftInterval is the number of replicas after which the same pairs of model and
	// server would repeat. The servers are shifted by one there.
	serverShiftInterval = 3000
)

// newPair starts two linked nodes in two regions.
func newPair(b *testing.B) (*cluster, *clusterNode, domain.NodeID) {
	c := newCluster(b, 2)
	b.Cleanup(c.close)
	c.waitForMembership()
	time.Sleep(time.Second)
	return c, c.nodes[0], c.nodes[1].member.Node
}

// BenchmarkCapacityCall measures the cost of a Wake and its response for both ends together.
func BenchmarkCapacityCall(b *testing.B) {
	wake := peer.Wake{
		Request: "01HZZZZZZZZZZZZZZZZZZZZZZZ", Model: "coral-frame-notes-large", Adapter: "franchise-042",
		Team: "coral-research", Region: "region-0", Within: 30 * time.Second,
	}
	measureCalls(b, "Call", wake)
}

// measureCalls measures the cost of a request and its response for both ends together.
func measureCalls(b *testing.B, name string, m peer.Message) {
	c, from, to := newPair(b)
	measureMessages(b, c, name, func(wait *sync.WaitGroup, n int) {
		for range 8 {
			wait.Go(func() {
				for range n / 8 {
					if _, err := from.Call(context.Background(), to, m); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
	})
}

// BenchmarkCapacityReport measures the report of one server with ten replicas.
func BenchmarkCapacityReport(b *testing.B) {
	measureSend(b, "Report", peer.Reports{Servers: []peer.ServerReport{serverReport()}})
}

// BenchmarkCapacityUsage measures the usage report of ten limits.
func BenchmarkCapacityUsage(b *testing.B) {
	var u peer.Usage
	for i := range 10 {
		u.Counters = append(u.Counters, peer.UsageCounter{Name: fmt.Sprintf("team/coral-%d/requests", i), Demand: 12.345, Used: 9.876})
	}
	measureSend(b, "Usage", u)
}

// BenchmarkCapacityApplied measures a request for Applied and the response of a node that owns
// one server.
func BenchmarkCapacityApplied(b *testing.B) {
	measureCalls(b, "Applied", peer.StatusRequest{Part: peer.AppliedPart})
}

// BenchmarkCapacityLoads measures the request counts of one server with ten busy replicas.
func BenchmarkCapacityLoads(b *testing.B) {
	l := serverReport().Loads()
	l.Sequence = 1 << 20
	measureSend(b, "Loads", peer.Loads{Servers: []reports.Loads{l}})
}

// BenchmarkCapacitySubscribe measures a subscription to the loads of one server.
func BenchmarkCapacitySubscribe(b *testing.B) {
	measureSend(b, "Subscribe", peer.Subscribe{Servers: []domain.ServerID{"engine-0123"}})
}

// BenchmarkCapacityCompare measures the digests of a comparison that finds no difference.
func BenchmarkCapacityCompare(b *testing.B) {
	var d reports.Digests
	for i := range d {
		d[i] = 1<<63 + uint64(i)
	}
	measureSend(b, "Compare", peer.CompareReports{Digests: d})
}

// BenchmarkCapacityLogRecord measures one record of 300 bytes that is forwarded to one node.
func BenchmarkCapacityLogRecord(b *testing.B) {
	measureSend(b, "LogRecord", peer.LogRecords{First: 1, Records: [][]byte{make([]byte, 300)}})
}

// BenchmarkCapacityHeartbeat measures a relay's heartbeat to one node.
func BenchmarkCapacityHeartbeat(b *testing.B) {
	measureSend(b, "Heartbeat", peer.LogRecords{First: 1 << 30})
}

// BenchmarkCapacityLink measures the memory of one end of a link.
func BenchmarkCapacityLink(b *testing.B) {
	const nodes = 60
	c := newCluster(b, nodes)
	defer c.close()
	for b.Loop() {
		c.waitForMembership()
		time.Sleep(2 * time.Second)
		before, opened := liveMemory(), c.opened.Load()
		for _, n := range c.nodes[1:] {
			if _, err := c.nodes[0].Call(context.Background(), n.member.Node, peer.Wake{}); err != nil {
				b.Fatal(err)
			}
		}
		record(b, "LinkMemory", "B", (liveMemory()-before)/2/float64(c.opened.Load()-opened))
	}
}

// serverReport returns the report of a server with the planned number of replicas.
func serverReport() peer.ServerReport {
	s := peer.ServerReport{Server: "engine-0123", Fence: 1 << 30, Sequence: 1 << 20, Alive: true, FreeMemory: 20 * domain.Gibibyte}
	for i := range plannedReplicas / plannedServers {
		s.Models = append(s.Models, peer.ModelReport{
			Model: domain.ModelName(fmt.Sprintf("coral-frame-notes-%04d", i)), Running: 3, Waiting: 1,
			Adapters: []domain.AdapterName{"franchise-042", "franchise-077", "franchise-101"},
		})
	}
	return s
}

// measureSend sends messages one at a time, so that each takes a packet of its own.
func measureSend(b *testing.B, name string, m peer.Message) {
	c, from, to := newPair(b)
	measureMessages(b, c, name, func(_ *sync.WaitGroup, n int) {
		for range n {
			from.Send(to, m)
			time.Sleep(50 * time.Microsecond)
		}
	})
}

func measureMessages(b *testing.B, c *cluster, name string, send func(wait *sync.WaitGroup, n int)) {
	const messages = 16000
	for b.Loop() {
		var wait sync.WaitGroup
		bytesBefore, processorBefore := c.traffic.total(), processorTime()
		send(&wait, messages)
		wait.Wait()
		time.Sleep(100 * time.Millisecond)
		record(b, name+"Processor", "core-s", (processorTime()-processorBefore).Seconds()/messages)
		record(b, name+"Bytes", "B", (c.traffic.total()-bytesBefore)/2/messages)
	}
}

// BenchmarkCapacityMembership measures a membership view of the planned size.
func BenchmarkCapacityMembership(b *testing.B) {
	for b.Loop() {
		measureMembership(b)
	}
}

func measureMembership(b *testing.B) {
	now := time.Unix(1000, 0)
	before := liveMemory()
	table := membership.NewTable(member(0))
	for i := range plannedNodes - 1 {
		table.RecordContact(now, membership.Update{Member: member(i + 1), Status: membership.Alive, Incarnation: 1})
	}
	table.TakeGossip()
	record(b, "ViewMemory", "B", liveMemory()-before)
	incarnation := uint64(1)
	recordMeanTime(b, "ViewChangeProcessor", func() {
		incarnation++
		table.Merge(now, []membership.Update{{Member: member(7), Status: membership.Gone, Incarnation: incarnation}})
		incarnation++
		table.Merge(now, []membership.Update{{Member: member(7), Status: membership.Alive, Incarnation: incarnation}})
		table.Neighbours()
		table.Members()
		table.Digests()
		table.TakeGossip()
	})
	recordMeanTime(b, "ViewTickProcessor", func() {
		table.Tick(now)
		table.DueProbes(now)
		table.Neighbours()
	})
	nodes := make([]domain.NodeID, 0, plannedNodes)
	for _, m := range table.Members() {
		nodes = append(nodes, m.Node)
	}
	recordMeanTime(b, "FirstProcessor", func() { rendezvous.First("model/coral-frame-notes", nodes) })
	recordMeanTime(b, "RankProcessor", func() { rendezvous.Rank("model/coral-frame-notes", nodes) })
	before = liveMemory()
	var stored node.Reports
	for i := range plannedServers {
		r := serverReport()
		r.Server = serverName(i)
		stored.Add(r.WithoutLoads(), now)
	}
	record(b, "ReportsMemory", "B", liveMemory()-before)
	recordMeanTime(b, "DigestsProcessor", func() { stored.Comparison() })
	stored.Remove("")
}

func member(i int) membership.Member {
	return membership.Member{
		Node: domain.NodeID(fmt.Sprintf("entry-%04d-%08x", i, i*7919)), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		AdminAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		Region:       domain.Region(fmt.Sprintf("region-%d", i%6)), Zone: domain.Zone(fmt.Sprintf("region-%d-%d", i%6, i/6%4)),
	}
}

// recordMeanTime records the mean processor time of a call of f.
func recordMeanTime(b *testing.B, name string, f func()) {
	const runs = 300
	processorBefore := processorTime()
	for range runs {
		f()
	}
	record(b, name, "core-s", (processorTime()-processorBefore).Seconds()/runs)
}

// BenchmarkCapacityFold measures the replicated state at the planned size.
func BenchmarkCapacityFold(b *testing.B) {
	for b.Loop() {
		measureFold(b)
	}
}

func measureFold(b *testing.B) {
	codec, err := platformlog.NewCodec(platformlog.RecordCodec{Encode: configuration.Encode, Decode: configuration.Decode})
	if err != nil {
		b.Fatal(err)
	}
	before := liveMemory()
	f := stateBuilder{b: b, codec: codec, state: &fold.State{}}
	f.fill()
	record(b, "FoldMemory", "B", liveMemory()-before)
	encodingStart := processorTime()
	snapshot, err := codec.EncodeSnapshot(f.state.Snapshot())
	if err != nil {
		b.Fatal(err)
	}
	record(b, "SnapshotProcessor", "core-s", (processorTime() - encodingStart).Seconds())
	record(b, "SnapshotBytes", "B", float64(len(snapshot)))
	const changes = 2000
	f.bytes = 0
	processorBefore := processorTime()
	for i := range changes {
		f.changeAdapter(i)
	}
	record(b, "ChangeProcessor", "core-s", (processorTime()-processorBefore).Seconds()/changes)
	record(b, "ChangeBytes", "B", float64(f.bytes)/changes)
	f.bytes = 0
	processorBefore = processorTime()
	for i := range changes {
		f.reattachPermit(i)
	}
	record(b, "PermitProcessor", "core-s", (processorTime()-processorBefore).Seconds()/changes)
	record(b, "PermitBytes", "B", float64(f.bytes)/changes)
}

// stateBuilder encodes batches of records, decodes them again and applies them to the state.
type stateBuilder struct {
	b        *testing.B
	codec    *platformlog.Codec
	state    *fold.State
	sequence domain.Sequence
	bytes    int
}

func (f *stateBuilder) apply(records ...fold.Record) {
	batch := fold.Batch{Node: "entry-0001", First: f.sequence + 1, Records: records}
	f.sequence += domain.Sequence(len(records))
	data, err := f.codec.EncodeBatch(batch)
	if err != nil {
		f.b.Fatal(err)
	}
	f.bytes += len(data)
	decoded, err := f.codec.DecodeBatch(data)
	if err != nil {
		f.b.Fatal(err)
	}
	for _, o := range f.state.Apply(f.state.Offset()+1, decoded) {
		if o.Rejection != fold.Accepted {
			f.b.Fatalf("got %v, want Accepted", o.Rejection)
		}
	}
}

func (f *stateBuilder) configure(r configuration.Record) {
	r.SchemaVersion = configuration.CurrentSchemaVersion
	after := f.state.ConfigurationOffset()
	f.apply(fold.ConfigurationImported{After: after, Through: after + 1, Changes: []fold.Change{{Offset: after + 1, Record: r}}})
}

func modelName(i int) domain.ModelName     { return domain.ModelName(fmt.Sprintf("model-%04d", i)) }
func serverName(i int) domain.ServerID     { return domain.ServerID(fmt.Sprintf("engine-%04d", i)) }
func adapterName(i int) domain.AdapterName { return domain.AdapterName(fmt.Sprintf("adapter-%04d", i)) }

func (f *stateBuilder) fill() {
	for i := range plannedModels {
		f.configure(configuration.Record{Author: "bench", Model: &configuration.Model{
			Name: modelName(i), Version: "v1", Memory: 4 * domain.Gibibyte, Copies: 8}})
	}
	for i := range plannedAdapters {
		f.configure(configuration.Record{Author: "bench", Adapter: &configuration.Adapter{
			Model: modelName(i % plannedModels), Name: adapterName(i), Version: "v1", Memory: 64 * domain.Mebibyte}})
	}
	for i := range plannedServers {
		f.apply(fold.LeaseTaken{Server: serverName(i), Owner: "entry-0001",
			Facts: fold.ServerFacts{Memory: 640 * domain.Gibibyte, ChecksFences: true, Region: "region-0", Zone: "region-0-0"}})
	}
	for i := range plannedReplicas {
		server := (i + i/serverShiftInterval) % plannedServers
		f.apply(fold.PermitAttached{Model: modelName(i % plannedModels), Server: serverName(server), Fence: f.fence(server)})
	}
}

// fence returns the fencing token of a server, which is the offset of its lease: fill writes one
// record per model and adapter before the leases.
func (f *stateBuilder) fence(server int) domain.Fence {
	return domain.Fence(plannedModels + plannedAdapters + server + 1)
}

func (f *stateBuilder) changeAdapter(i int) {
	f.configure(configuration.Record{Author: "bench", Adapter: &configuration.Adapter{
		Model: modelName(i % plannedModels), Name: adapterName(i % plannedAdapters), Version: domain.VersionName(fmt.Sprintf("v%d", i)), Memory: 64 * domain.Mebibyte}})
}

// reattachPermit releases a permit and attaches it again.
func (f *stateBuilder) reattachPermit(i int) {
	server := i % plannedServers
	model, fence := modelName(i%plannedModels), f.fence(server)
	f.apply(fold.PermitReleased{Model: model, Server: serverName(server), Fence: fence})
	f.apply(fold.PermitAttached{Model: model, Server: serverName(server), Fence: fence})
}
