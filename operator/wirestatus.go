package operator

// WireStatus is the JSON form of Status.
type WireStatus struct {
	Node     string
	Version  string
	At       string
	Ready    bool
	NotReady string
	Log      WireLogStatus
	Nodes    []WireNodeStatus
	Servers  []WireServerStatus
	Permits  []WirePermitStatus
	Doubts   []WireDoubtStatus
	Queues   []WireQueueStatus
	Wakes    []WireWakeStatus
	Breakers []WireBreakerStatus
	Suspects []WireSuspectStatus
	Problems []WireProblem
}

// WireLogStatus is the JSON form of LogStatus.
type WireLogStatus struct {
	Up                      bool
	Decision                uint64
	Configuration           uint64
	LagRecords              uint64
	SinceAnswerMilliseconds int64
}

// WireNodeStatus is the JSON form of NodeStatus.
type WireNodeStatus struct {
	Node          string
	Address       string
	Region        string
	Zone          string
	Alive         bool
	Leaving       bool
	Roles         []string
	Leases        int
	Configuration uint64
}

// WireServerStatus is the JSON form of ServerStatus.
type WireServerStatus struct {
	Server       string
	Kind         string
	Region       string
	Zone         string
	Alive        bool
	Leaving      bool
	Drained      bool
	Owner        string
	Fence        uint64
	ChecksFences bool
	MemoryBytes  int64
	UsedBytes    int64
	Running      int
	Waiting      int
}

// WirePermitStatus is the JSON form of PermitStatus.
type WirePermitStatus struct {
	Model   string
	Server  string
	Loaded  bool
	Loading bool
	Revoked bool
}

// WireDoubtStatus is the JSON form of UnknownOutcomeStatus.
type WireDoubtStatus struct {
	Server            string
	Owner             string
	Earlier           uint64
	SinceMilliseconds int64
}

// WireQueueStatus is the JSON form of QueueStatus.
type WireQueueStatus struct {
	Model            string
	Waiting          int
	Running          int
	HoldMilliseconds int64
}

// WireWakeStatus is the JSON form of ColdStartStatus.
type WireWakeStatus struct {
	Model             string
	Server            string
	Callers           int
	SinceMilliseconds int64
}

// WireBreakerStatus is the JSON form of EjectionStatus.
type WireBreakerStatus struct {
	Server          string
	Failures        int
	ForMilliseconds int64
}

// WireSuspectStatus is the JSON form of SuspectStatus.
type WireSuspectStatus struct {
	Content         string
	Refused         bool
	Crashes         int
	ForMilliseconds int64
}

// WireProblem is the JSON form of Problem.
type WireProblem struct {
	Severity string
	Message  string
	Page     string
}
