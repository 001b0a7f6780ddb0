package bench

// Planned counts. Servers are not planned by number; ten replicas a server are
// assumed.
const (
	nodes    = 940.0
	zones    = 22.0
	servers  = 1000.0
	requests = 53000.0 // a second

	day  = 86400.0 // seconds
	hour = 3600.0  // seconds

	changes      = 28000 / day
	wakes        = 320 / hour
	moves        = 640 / hour // wakes and idlings
	restarts     = (150 + 950) / day
	takeovers    = restarts * servers / nodes
	askers       = 16.0 // entries that wait for one cold model
	loads        = 5.0  // a second at the weight store
	snapshotTime = 600.0
	fanOut       = 4.0
	streams      = 1 + fanOut // one received, the others sent
	// heapFactor is how much the collector lets the heap grow over what lives.
	heapFactor = 2.0
	// demandLinks are links to all nodes of the region that are not neighbours.
	demandLinks = nodes/6 - 16
)

// Budgets of one node for control.
const (
	budgetNetwork   = 17000.0 // bytes a second
	budgetProcessor = 0.016   // of a core
	budgetMemory    = 64e6    // bytes
	budgetAppends   = 300.0   // a second, of the log
)

// Units of a row.
const (
	bytesPerSecond = "B/s"
	coreShare      = "core"
	bytes          = "B"
	perSecond      = "1/s"
)

// Term is one slope times a planned count.
type Term struct {
	// Slope names a recorded figure; empty means 1.
	Slope string
	Count float64
	// Of says what is counted.
	Of string
}

// Row is one figure of one role at the planned size.
type Row struct {
	Role, Measure, Unit string
	Terms               []Term
	Budget              float64
	// OverBudget rows are known not to fit; Change says what would make them.
	OverBudget bool
	Change     string
	Mechanism  string
}

// Product is the row's figure.
func (r Row) Product(s Slopes) (float64, bool) {
	sum := 0.0
	for _, t := range r.Terms {
		slope := 1.0
		if t.Slope != "" {
			v, ok := s.Value(t.Slope)
			if !ok {
				return 0, false
			}
			slope = v
		}
		sum += slope * t.Count
	}
	return sum, true
}

// Rows returns every figure of docs/CAPACITY.md.
func Rows() []Row {
	rows := withTotal(networkRows(), bytesPerSecond, budgetNetwork)
	rows = append(rows, lessOften(&rows[len(rows)-1]))
	rows = append(rows, withTotal(processorRows(), coreShare, budgetProcessor)...)
	rows = append(rows, withTotal(memoryRows(), bytes, budgetMemory)...)
	return append(rows, systemRows()...)
}

// lessOften marks the sum of the network as over its budget and returns the one
// that fits.
func lessOften(sum *Row) Row {
	sum.OverBudget = true
	sum.Change = "ask for an operator's view every 5 minutes and not each minute (next row)"
	fits := *sum
	fits.OverBudget, fits.Change = false, ""
	fits.Measure = "the same with an operator's view every 5 minutes"
	fits.Terms = append([]Term{
		{"CallBytes", nodes/300 - nodes/60, "calls/s fewer"},
	}, sum.Terms...)
	return fits
}

func withTotal(rows []Row, unit string, budget float64) []Row {
	return append(rows, Total(rows, unit, budget))
}

func networkRows() []Row {
	return []Row{
		{Role: "each node", Measure: "links, pings and views", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"MeshBytes200", 1, "nodes"}, {"MeshRestartBytes200", restarts, "restarts and failures/s"}},
			Mechanism: "8 ring neighbours chosen and 8 that choose, however many nodes there are"},
		{Role: "relay", Measure: "log records", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms: []Term{{"LogRecordBytes", streams * (changes + 2*moves + 2*takeovers), "records/s in and out"},
				{"HeartbeatBytes", streams, "heartbeats/s in and out"}, {"SnapshotBytes", streams / snapshotTime, "snapshots/s in and out"}},
			Mechanism: "a tree of fan-out 4 in each zone; the root reads the log"},
		{Role: "home", Measure: "wakes", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"CallBytes", 2 * wakes * askers / nodes, "asks/s at both ends"}},
			Mechanism: "entries ask only where no replica is known; askers share one wake"},
		{Role: "pacer", Measure: "slots", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"CallBytes", loads, "loads/s"}, {"HeartbeatBytes", loads, "releases/s"}},
			Mechanism: "the weight store's own pace bounds it"},
		{Role: "operator's view", Measure: "status of all, once a minute", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"CallBytes", nodes / 60, "calls/s"}},
			Mechanism: "asked for by the node that the operator talks to"},
		{Role: "owner", Measure: "load reports to every node", Unit: bytesPerSecond, Budget: budgetNetwork, OverBudget: true,
			Terms:     []Term{{"ReportBytes", 2 * servers / nodes * 0.5 * (nodes - 1), "reports/s at both ends"}},
			Mechanism: "broadcast of each server at each change, at least every 2 s",
			Change:    "send changes of the set of replicas through the zones' trees (next row) and loads to no one but those that route there"},
		{Role: "owner", Measure: "replica sets through the trees (not built)", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"ReportBytes", streams * (moves + takeovers), "reports/s in and out"}},
			Mechanism: "a report only where the set of replicas or the server's state changes"},
		{Role: "each node", Measure: "applied offsets to every node", Unit: bytesPerSecond, Budget: budgetNetwork, OverBudget: true,
			Terms:     []Term{{"AppliedBytes", 2 * 0.5 * (nodes - 1), "messages/s at both ends"}},
			Mechanism: "broadcast every 2 s",
			Change:    "answer them in Status when an operator asks, and gather them up the zones' trees for config --wait"},
		{Role: "each node", Measure: "use of limits to every node", Unit: bytesPerSecond, Budget: budgetNetwork, OverBudget: true,
			Terms:     []Term{{"UsageBytes", 2 * (nodes - 1), "messages/s at both ends"}},
			Mechanism: "broadcast every second while callers use a limit; ten limits are assumed",
			Change:    "send each limit's use to its home by hash, which answers with the share"},
	}
}

func processorRows() []Row {
	return []Row{
		{Role: "each node", Measure: "links, pings and views", Unit: coreShare, Budget: budgetProcessor,
			Terms:     []Term{{"MeshProcessor200", 1, "nodes"}, {"ViewChangeProcessor", restarts, "restarts and failures/s"}},
			Mechanism: "as above; members are published once a tick"},
		{Role: "entry", Measure: "asks and choice of a home", Unit: coreShare, Budget: budgetProcessor,
			Terms:     []Term{{"CallProcessor", wakes * askers / nodes, "asks/s"}, {"RankProcessor", wakes * askers / nodes, "choices/s"}},
			Mechanism: "entries ask only where no replica is known"},
		{Role: "each node", Measure: "fold", Unit: coreShare, Budget: budgetProcessor,
			Terms:     []Term{{"ChangeProcessor", changes, "changes/s"}, {"PermitProcessor", moves + takeovers, "pairs of permit records/s"}},
			Mechanism: "records are proportional to decisions"},
		{Role: "relay", Measure: "log records", Unit: coreShare, Budget: budgetProcessor,
			Terms: []Term{{"LogRecordProcessor", streams * (changes + 2*moves + 2*takeovers), "records/s"},
				{"HeartbeatProcessor", streams, "heartbeats/s"}, {"SnapshotProcessor", 1 / snapshotTime, "snapshots/s"}},
			Mechanism: "a tree of fan-out 4; the snapshot is written by one node"},
		{Role: "pacer", Measure: "slots", Unit: coreShare, Budget: budgetProcessor,
			Terms:     []Term{{"CallProcessor", loads, "loads/s"}, {"HeartbeatProcessor", loads, "releases/s"}},
			Mechanism: "the weight store's own pace bounds it"},
		{Role: "owner", Measure: "load reports to every node", Unit: coreShare, Budget: budgetProcessor, OverBudget: true,
			Terms:     []Term{{"ReportProcessor", servers / nodes * 0.5 * (nodes - 1), "reports/s"}},
			Mechanism: "broadcast of each server at each change, at least every 2 s", Change: "as for its bytes"},
		{Role: "each node", Measure: "applied offsets to every node", Unit: coreShare, Budget: budgetProcessor, OverBudget: true,
			Terms:     []Term{{"AppliedProcessor", 0.5 * (nodes - 1), "messages/s"}},
			Mechanism: "broadcast every 2 s", Change: "as for their bytes"},
		{Role: "each node", Measure: "use of limits to every node", Unit: coreShare, Budget: budgetProcessor, OverBudget: true,
			Terms:     []Term{{"UsageProcessor", nodes - 1, "messages/s"}},
			Mechanism: "broadcast every second while callers use a limit", Change: "as for its bytes"},
	}
}

func memoryRows() []Row {
	return []Row{
		{Role: "each node", Measure: "links and view", Unit: bytes, Budget: budgetMemory,
			Terms: []Term{{"MeshMemory200", heapFactor, "nodes, with the collector's room"}, {"ViewMemory", heapFactor, "views"},
				{"LinkMemory", heapFactor * demandLinks, "links to the rest of the region"}},
			Mechanism: "links on demand close after a minute without use"},
		{Role: "each node", Measure: "agreed state", Unit: bytes, Budget: budgetMemory,
			Terms:     []Term{{"FoldMemory", heapFactor, "states"}, {"SnapshotBytes", 3, "encoded snapshots in flight"}},
			Mechanism: "1,500 models, 4,900 adapters, 1,000 leases, 10,000 permits"},
		{Role: "home and entry", Measure: "load reports", Unit: bytes, Budget: budgetMemory,
			Terms: []Term{{"ReportsMemory", heapFactor, "sets of 1,000 servers"}}, Mechanism: "one report a server is kept"},
	}
}

func systemRows() []Row {
	return []Row{
		{Role: "log", Measure: "appends", Unit: perSecond, Budget: budgetAppends,
			Terms: []Term{{"", 2 * changes, "operator records and imports/s"}, {"", 2 * moves, "moved permits/s"},
				{"", 2 * takeovers, "leases/s"}, {"", 5 / snapshotTime, "snapshot chunks/s"}},
			Mechanism: "no append for a wake or an idling under a permit; this counts each as a move"},
		{Role: "log", Measure: "reads", Unit: perSecond, Budget: budgetAppends,
			Terms:     []Term{{"", zones, "long polls of relays/s"}, {"", (nodes - zones) / 5, "idle reads/s"}},
			Mechanism: "one reader a zone; the others look every 5 s in spite of heartbeats"},
		{Role: "between regions", Measure: "links, pings and views of all nodes", Unit: bytesPerSecond,
			Terms:     []Term{{"MeshFarBytes200", nodes, "nodes"}},
			Mechanism: "2 far neighbours a node, pinged every 2 s"},
	}
}
