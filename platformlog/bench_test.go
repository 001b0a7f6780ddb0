package platformlog

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// plannedSnapshot returns a snapshot of the size that the system is planned for:
// 1,500 models, 4,900 adapters, 2,500 servers, 10,000 permits, 940 nodes and a full
// deduplication window of commands, the newest of which have response bodies of
// about 200 bytes.
func plannedSnapshot() fold.Snapshot {
	n := fold.Snapshot{Offset: 100000, Configuration: 7000, AcceptedClaims: fold.MaximumCommands}
	random := rand.NewChaCha8([32]byte{1})
	for i := range 1500 {
		n.Objects = append(n.Objects, fold.Change{Offset: domain.Offset(i + 1), Record: configuration.Record{Model: &configuration.Model{
			Name: domain.ModelName(fmt.Sprint("model-", i)), Version: "v1", Memory: 14 * domain.Gibibyte, Copies: 7}}})
	}
	for i := range 4900 {
		n.Objects = append(n.Objects, fold.Change{Offset: domain.Offset(i + 1501), Record: configuration.Record{Adapter: &configuration.Adapter{
			Name: domain.AdapterName(fmt.Sprint("adapter-", i)), Model: domain.ModelName(fmt.Sprint("model-", i%1500)),
			Version: "v1", Memory: 200 * domain.Mebibyte}}})
	}
	for i := range 2500 {
		server := domain.ServerID(fmt.Sprintf("engine-%04d", i))
		n.Servers = append(n.Servers, fold.ServerSnapshot{Lease: fold.Lease{Server: server, Owner: domain.NodeID(fmt.Sprint("node-", i%940)),
			Fence: domain.Fence(i + 1), Facts: fold.ServerFacts{Memory: 320 * domain.Gibibyte, ChecksFences: true, Region: "brisbane", Zone: "brisbane-a"}}})
		for j := range 4 {
			n.Permits = append(n.Permits, fold.PermitSnapshot{Model: domain.ModelName(fmt.Sprint("model-", (i+j*375)%1500)), Server: server,
				AttachedAt: domain.Offset(5000 + i), Memory: 14 * domain.Gibibyte, AdapterMemory: 600 * domain.Mebibyte})
		}
	}
	for i := range fold.MaximumCommands {
		c := fold.Command{Key: fold.CommandKey{byte(i), byte(i >> 8), 7}, State: fold.CommandDone, Holder: "node-17", Number: uint64(i + 1),
			ClaimedAt: domain.Offset(60000 + i), Status: 201}
		_, _ = random.Read(c.Key[3:])
		_, _ = random.Read(c.Request[:])
		if i >= fold.MaximumCommands-fold.MaximumOutcomesWithBody {
			c.ContentType, c.Body = "application/json", []byte(strings.Repeat("booking", 28))
		}
		n.Commands = append(n.Commands, c)
	}
	for i := range 940 {
		n.Nodes = append(n.Nodes, fold.NodeSnapshot{Node: domain.NodeID(fmt.Sprintf("node-%03d", i)), LastSequence: 900, LastBatchAt: 99000})
	}
	return n
}

func BenchmarkEncodeSnapshot(b *testing.B) {
	c := testCodec(b)
	n := plannedSnapshot()
	for b.Loop() {
		data, err := c.EncodeSnapshot(n)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/1e6, "MB")
	}
}

// BenchmarkStartFromSnapshot decodes a snapshot and restores its State.
func BenchmarkStartFromSnapshot(b *testing.B) {
	c := testCodec(b)
	data, err := c.EncodeSnapshot(plannedSnapshot())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		n, err := c.DecodeSnapshot(data)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := fold.Restore(n); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeBatch(b *testing.B) {
	c := testCodec(b)
	batch := fold.Batch{Node: "node-17", First: 1}
	for i := range 10 {
		batch.Records = append(batch.Records, fold.CommandClaimed{Key: fold.CommandKey{byte(i)}})
	}
	data, err := c.EncodeBatch(batch)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		if _, err := c.DecodeBatch(data); err != nil {
			b.Fatal(err)
		}
	}
}
