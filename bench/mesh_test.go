package bench

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// meshVariable is the environment variable that enables the measurements with 50 and 200 nodes.
const meshVariable = "PARSLEYLUG_BENCH_MESH"

const settleTime = 90 * time.Second

func meshSizes() []int {
	if os.Getenv(meshVariable) == "" {
		return []int{8}
	}
	return []int{8, 50, 200}
}

// BenchmarkCapacityMesh measures the cost of idle nodes, the time until all nodes have a new
// record, and the cost of restarting a third of the nodes.
func BenchmarkCapacityMesh(b *testing.B) {
	for _, size := range meshSizes() {
		b.Run(fmt.Sprintf("Nodes%d", size), func(b *testing.B) {
			for b.Loop() {
				measureMesh(b, size)
			}
		})
	}
}

func measureMesh(b *testing.B, size int) {
	base := liveMemory()
	c := newCluster(b, size)
	defer c.close()
	suffix := fmt.Sprintf("%d", size)
	record(b, "MeshStartSeconds"+suffix, "s", c.waitForMembership().Seconds())
	time.Sleep(10 * time.Second)
	record(b, "MeshMemory"+suffix, "B/node", (liveMemory()-base)/float64(size))
	steady := measureIdle(b, c, suffix)
	offset := c.append(300)
	record(b, "MeshRecordSeconds"+suffix, "s", c.waitForRecord(offset).Seconds())
	measureRestart(b, c, suffix, steady)
}

// measureIdle returns the bytes a second of all nodes together.
func measureIdle(b *testing.B, c *cluster, suffix string) float64 {
	const window = 10 * time.Second
	nodes := float64(len(c.nodes))
	bytesBefore, crossRegionBefore, processorBefore := c.traffic.total(), c.traffic.crossRegion(), processorTime()
	time.Sleep(window)
	steady := (c.traffic.total() - bytesBefore) / window.Seconds()
	record(b, "MeshBytes"+suffix, "B/s/node", steady/nodes)
	record(b, "MeshFarBytes"+suffix, "B/s/node", (c.traffic.crossRegion()-crossRegionBefore)/window.Seconds()/nodes)
	record(b, "MeshProcessor"+suffix, "core/node", (processorTime()-processorBefore).Seconds()/window.Seconds()/nodes)
	return steady
}

// measureRestart stops a third of the nodes without notice to the others and starts as many new
// ones.
func measureRestart(b *testing.B, c *cluster, suffix string, steady float64) {
	third := len(c.nodes) / 3
	bytesBefore, processorBefore, start := c.traffic.total(), processorTime(), time.Now()
	for range third {
		c.stopNode(c.nodes[0])
	}
	for range third {
		c.startNode()
	}
	convergence := c.waitForMembership()
	record(b, "MeshThirdRestartSeconds"+suffix, "s", convergence.Seconds())
	time.Sleep(3 * time.Second)
	elapsed := time.Since(start).Seconds()
	nodes := float64(len(c.nodes))
	extra := c.traffic.total() - bytesBefore - steady*elapsed
	record(b, "MeshRestartBytes"+suffix, "B/restart/node", extra/float64(third)/nodes)
	record(b, "MeshRestartProcessor"+suffix, "core/node", (processorTime()-processorBefore).Seconds()/elapsed/nodes)
}
