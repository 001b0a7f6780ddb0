package bench

// Planned counts, and rates per second. The plan does not give the number of servers. The
// constant servers assumes ten replicas on each server.
const (
	nodes    = 940.0
	zones    = 22.0
	servers  = 1000.0
	requests = 53000.0 // a second

	day  = 86400.0 // seconds
	hour = 3600.0  // seconds

	configurationChanges = 28000 / day
	coldStarts           = 320 / hour
	replicaChanges       = 640 / hour // loads and unloads
	restarts             = (150 + 950) / day
	takeovers            = restarts * servers / nodes
	waitingEntries       = 16.0 // entry nodes that wait for one cold start
	storeLoads           = 5.0  // a second, from the weight store
	snapshotInterval     = 600.0
	fanOut               = 4.0
	// reportsPerSecond is the rate of changes of all servers' sets of replicas, and of takeovers. A load changes the set
	// when it starts and when it ends; an unload removes the replica and then frees its memory.
	reportsPerSecond = 2*replicaChanges + takeovers
	// reportStreams counts the streams of reports at a node near the root of a zone's tree,
	// which receives them from the owner as well.
	reportStreams = logStreams + 1
	// ownerTargets are the nodes to which the owner of a server sends its reports: five in each
	// zone of its own region and two in each zone of the others.
	ownerTargets = farTargets + 5*zones/6
	farTargets   = 2 * zones * 5 / 6
	// comparisons is the number of comparisons a second at the busiest node: 6.3 that other
	// nodes start with it (go test ./relay -v -run Comparisons) and 1 that it starts itself.
	comparisons = 6.3 + 1
	// countMessageRate is the maximum number of messages a second with the request counts of
	// one server.
	countMessageRate = 5.0
	followedServers  = 16.0       // servers whose request counts a node subscribes to
	renewalRate      = 0.1        // a second, for each followed server
	logStreams       = 1 + fanOut // one received, the others forwarded
	// heapFactor is the maximum heap size before a garbage collection, as a multiple of the
	// size of live objects.
	heapFactor = 2.0
	// onDemandLinks are the links to all nodes of the region that are not neighbours.
	onDemandLinks = nodes/6 - 16
)

// Budgets of one node for control traffic and control work.
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

// Term is a slope multiplied by a planned count.
type Term struct {
	// Slope is the name of a recorded slope; empty stands for 1.
	Slope string
	Count float64
	// Of describes the counted unit.
	Of string
}

// Row is one figure of one role at the planned size.
type Row struct {
	Role, Measure, Unit string
	Terms               []Term
	Budget              float64
	// OverBudget is set if the figure is known to exceed Budget. Change describes what would
	// make it fit.
	OverBudget bool
	Change     string
	Mechanism  string
	// Parts replaces the formula in a row that sums parts of other rows.
	Parts string
}

// Product returns the sum of the terms, and false if a slope is not recorded.
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

// Rows returns all rows of docs/CAPACITY.md.
func Rows() []Row {
	rows := appendTotal(networkRows(), bytesPerSecond, budgetNetwork)
	rows = append(rows, withRarerStatus(&rows[len(rows)-1]), ordinaryNode(), zoneRoot())
	rows = append(rows, appendTotal(processorRows(), coreShare, budgetProcessor)...)
	rows = append(rows, appendTotal(memoryRows(), bytes, budgetMemory)...)
	return append(rows, systemRows()...)
}

// withRarerStatus marks sum, the network total, as over budget. It returns a second total, which
// assumes less frequent status requests and exceeds the budget too.
func withRarerStatus(sum *Row) Row {
	sum.OverBudget = true
	sum.Change = "ask for an operator's view every 5 minutes and not each minute (next row)"
	rarer := *sum
	rarer.Change = "keep the roots of zones from being the pacer, from owning servers and from following counts (second next row)"
	rarer.Measure = "the same with an operator's view every 5 minutes"
	rarer.Terms = append([]Term{
		{"AppliedBytes", nodes/300 - nodes/60, "calls/s fewer"},
	}, sum.Terms...)
	return rarer
}

// ordinaryNode returns the row of a node that owns servers and routes requests, is a leaf of
// its zone's tree, is not the pacer and serves no operator.
func ordinaryNode() Row {
	return Row{Role: "ordinary node", Measure: "everything of it that fits", Unit: bytesPerSecond, Budget: budgetNetwork,
		Terms: []Term{{"MeshBytes200", 1, "nodes"}, {"MeshRestartBytes200", restarts, "restarts and failures/s"},
			{"LogRecordBytes", configurationChanges + 2*replicaChanges + 2*takeovers, "records/s"}, {"HeartbeatBytes", 1, "heartbeats/s"},
			{"SnapshotBytes", 1 / snapshotInterval, "snapshots/s"}, {"ReportBytes", reportsPerSecond + ownerTargets*reportsPerSecond/nodes, "reports/s"},
			{"CompareBytes", 2, "comparisons/s"}, {"LoadsBytes", 2 * countMessageRate * servers / nodes, "counts/s"},
			{"SubscribeBytes", 2 * followedServers * renewalRate, "renewals/s"}, {"AppliedBytes", 2 * configurationChanges, "calls/s"}},
		Mechanism: "a leaf of its zone's tree that is neither the pacer nor asked by operators; three of four nodes",
		Parts:     "its parts of the rows above"}
}

// zoneRoot returns the row of the root of a zone's tree without any other role.
func zoneRoot() Row {
	return Row{Role: "root of a zone", Measure: "the tree alone, without servers, counts and other roles (not built)", Unit: bytesPerSecond, Budget: budgetNetwork,
		Terms: []Term{{"MeshBytes200", 1, "nodes"}, {"MeshRestartBytes200", restarts, "restarts and failures/s"},
			{"LogRecordBytes", logStreams * (configurationChanges + 2*replicaChanges + 2*takeovers), "records/s"}, {"HeartbeatBytes", logStreams, "heartbeats/s"},
			{"SnapshotBytes", logStreams / snapshotInterval, "snapshots/s"}, {"ReportBytes", reportStreams * reportsPerSecond, "reports/s"},
			{"CompareBytes", comparisons, "comparisons/s"}, {"AppliedBytes", 2 * configurationChanges, "calls/s"}},
		Mechanism: "links, log records, replica sets and comparisons",
		Parts:     "its parts of the rows above"}
}

func appendTotal(rows []Row, unit string, budget float64) []Row {
	return append(rows, Total(rows, unit, budget))
}

func networkRows() []Row {
	return []Row{
		{Role: "each node", Measure: "links, pings and views", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"MeshBytes200", 1, "nodes"}, {"MeshRestartBytes200", restarts, "restarts and failures/s"}},
			Mechanism: "8 ring neighbours chosen and 8 that choose, however many nodes there are"},
		{Role: "relay", Measure: "log records", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms: []Term{{"LogRecordBytes", logStreams * (configurationChanges + 2*replicaChanges + 2*takeovers), "records/s in and out"},
				{"HeartbeatBytes", logStreams, "heartbeats/s in and out"}, {"SnapshotBytes", logStreams / snapshotInterval, "snapshots/s in and out"}},
			Mechanism: "a tree of fan-out 4 in each zone; the root reads the log"},
		{Role: "home", Measure: "wakes", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"CallBytes", 2 * coldStarts * waitingEntries / nodes, "asks/s at both ends"}},
			Mechanism: "entries ask only where no replica is known; askers share one wake"},
		{Role: "pacer", Measure: "slots", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"CallBytes", storeLoads, "loads/s"}, {"HeartbeatBytes", storeLoads, "releases/s"}},
			Mechanism: "the weight store's own pace bounds it"},
		{Role: "operator's view", Measure: "status of all, once a minute", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"AppliedBytes", nodes / 60, "calls/s"}},
			Mechanism: "asked for by the node that the operator talks to"},
		{Role: "each node", Measure: "applied offsets, every change waited for", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"AppliedBytes", 2 * configurationChanges, "calls/s at both ends"}},
			Mechanism: "asked by the node that an operator talks to, each node once a change; operators spread over the nodes"},
		{Role: "owner and relay", Measure: "replica sets through the trees", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms: []Term{{"ReportBytes", reportStreams * reportsPerSecond, "reports/s in and out"},
				{"ReportBytes", ownerTargets * reportsPerSecond / nodes, "reports/s of own servers"}},
			Mechanism: "a report only where the set of replicas or the server's state changes"},
		{Role: "relay", Measure: "comparisons of replica sets", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms:     []Term{{"CompareBytes", comparisons, "comparisons/s"}},
			Mechanism: "each node compares digests with one other a second"},
		{Role: "owner and entry", Measure: "counts of requests", Unit: bytesPerSecond, Budget: budgetNetwork,
			Terms: []Term{{"LoadsBytes", 2 * countMessageRate * servers / nodes, "messages/s at both ends"},
				{"SubscribeBytes", 2 * followedServers * renewalRate, "renewals/s at both ends"}},
			Mechanism: "quantised, to at most 16 followed servers' subscribers, at most 5 messages a second a server"},
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
			Terms:     []Term{{"CallProcessor", coldStarts * waitingEntries / nodes, "asks/s"}, {"RankProcessor", coldStarts * waitingEntries / nodes, "choices/s"}},
			Mechanism: "entries ask only where no replica is known"},
		{Role: "each node", Measure: "fold", Unit: coreShare, Budget: budgetProcessor,
			Terms:     []Term{{"ChangeProcessor", configurationChanges, "changes/s"}, {"PermitProcessor", replicaChanges + takeovers, "pairs of permit records/s"}},
			Mechanism: "records are proportional to decisions"},
		{Role: "relay", Measure: "log records", Unit: coreShare, Budget: budgetProcessor,
			Terms: []Term{{"LogRecordProcessor", logStreams * (configurationChanges + 2*replicaChanges + 2*takeovers), "records/s"},
				{"HeartbeatProcessor", logStreams, "heartbeats/s"}, {"SnapshotProcessor", 1 / snapshotInterval, "snapshots/s"}},
			Mechanism: "a tree of fan-out 4; the snapshot is written by one node"},
		{Role: "pacer", Measure: "slots", Unit: coreShare, Budget: budgetProcessor,
			Terms:     []Term{{"CallProcessor", storeLoads, "loads/s"}, {"HeartbeatProcessor", storeLoads, "releases/s"}},
			Mechanism: "the weight store's own pace bounds it"},
		{Role: "each node", Measure: "applied offsets, every change waited for", Unit: coreShare, Budget: budgetProcessor,
			Terms:     []Term{{"AppliedProcessor", configurationChanges, "calls/s"}},
			Mechanism: "as above"},
		{Role: "owner and relay", Measure: "replica sets through the trees", Unit: coreShare, Budget: budgetProcessor,
			Terms:     []Term{{"ReportProcessor", reportStreams*reportsPerSecond + ownerTargets*reportsPerSecond/nodes, "reports/s"}},
			Mechanism: "as above"},
		{Role: "relay", Measure: "comparisons of replica sets", Unit: coreShare, Budget: budgetProcessor,
			Terms:     []Term{{"CompareProcessor", comparisons, "comparisons/s"}, {"DigestsProcessor", comparisons, "digests/s"}},
			Mechanism: "as above"},
		{Role: "owner and entry", Measure: "counts of requests", Unit: coreShare, Budget: budgetProcessor,
			Terms: []Term{{"LoadsProcessor", countMessageRate * servers / nodes, "messages/s"},
				{"SubscribeProcessor", followedServers * renewalRate, "renewals/s"}},
			Mechanism: "as above"},
		{Role: "each node", Measure: "use of limits to every node", Unit: coreShare, Budget: budgetProcessor, OverBudget: true,
			Terms:     []Term{{"UsageProcessor", nodes - 1, "messages/s"}},
			Mechanism: "broadcast every second while callers use a limit", Change: "as for its bytes"},
	}
}

func memoryRows() []Row {
	return []Row{
		{Role: "each node", Measure: "links and view", Unit: bytes, Budget: budgetMemory,
			Terms: []Term{{"MeshMemory200", heapFactor, "nodes, with the collector's room"}, {"ViewMemory", heapFactor, "views"},
				{"LinkMemory", heapFactor * onDemandLinks, "links to the rest of the region"}},
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
			Terms: []Term{{"", 2 * configurationChanges, "operator records and imports/s"}, {"", 2 * replicaChanges, "moved permits/s"},
				{"", 2 * takeovers, "leases/s"}, {"", 5 / snapshotInterval, "snapshot chunks/s"}},
			Mechanism: "no append for a wake or an idling under a permit; this counts each as a move"},
		{Role: "log", Measure: "reads", Unit: perSecond, Budget: budgetAppends,
			Terms:     []Term{{"", zones, "long polls of relays/s"}, {"", (nodes - zones) / 60, "idle reads/s"}},
			Mechanism: "one reader a zone; the others look once a minute beside the heartbeats"},
		{Role: "between regions", Measure: "links, pings and views of all nodes", Unit: bytesPerSecond,
			Terms:     []Term{{"MeshFarBytes200", nodes, "nodes"}},
			Mechanism: "2 far neighbours a node, pinged every 2 s"},
		{Role: "between regions", Measure: "replica sets", Unit: bytesPerSecond,
			Terms:     []Term{{"ReportBytes", farTargets * reportsPerSecond, "reports/s"}},
			Mechanism: "two nodes of each zone of other regions"},
	}
}
