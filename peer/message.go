package peer

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/reports"
	"github.com/parsleylug/parsleylug/verdict"
)

// Message is what two nodes say to each other. Each type below has a number in
// the codec; an unknown number is answered with Failed.
type Message interface{ message() }

// Ping asks for a Pong; it proves that the connection makes progress.
type Ping struct{ Nonce uint64 }

// Pong answers a Ping.
type Pong struct{ Nonce uint64 }

// Failed answers a request that could not be done.
type Failed struct {
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Message    string
	RetryAfter time.Duration
}

// Wake asks the home of a model for loaded replicas, waking one if need be. The
// answer is Replicas or Failed.
type Wake struct {
	Request  domain.RequestID
	Model    domain.ModelName
	Adapter  domain.AdapterName
	Team     domain.TeamName
	Priority domain.Priority
	// Region is where the caller came in.
	Region domain.Region
	// Within is how long the caller can still wait for a first token.
	Within time.Duration
	// Exclude are servers that just failed this request.
	Exclude []domain.ServerID
}

// Replicas answers Wake with the servers that have the model loaded.
type Replicas struct {
	Model   domain.ModelName
	Servers []domain.ServerID
	// ColdStart tells whether the model had to be loaded for the asker.
	ColdStart bool
	// ValidFor is how long the asker may route by this answer without asking
	// again.
	ValidFor time.Duration
}

// Load asks the owner of a server to load a model there, attaching a permit if
// need be. The answer is Loaded or Failed.
type Load struct {
	Server  domain.ServerID
	Model   domain.ModelName
	Adapter domain.AdapterName
	Within  time.Duration
}

// Loaded answers Load once the server has confirmed.
type Loaded struct {
	Server domain.ServerID
	Model  domain.ModelName
	// LoadTime is how long the load took at the owner.
	LoadTime time.Duration
	// Reports holds the server's report after the load, or nothing, so that the
	// asker needs not wait for it.
	Reports []ServerReport
	// Age is how long ago the server confirmed that report.
	Age time.Duration
}

// ReleasePermit asks the owner of a server to give back a permit whose replica is
// not loaded, so that another server can load the model. The answer is Released
// or Failed.
type ReleasePermit struct {
	Server domain.ServerID
	Model  domain.ModelName
}

// Released answers ReleasePermit once the log has the release.
type Released struct{}

// AcquirePace asks the pacer for a slot at the weight store. The answer is Paced
// or Failed.
type AcquirePace struct {
	Model  domain.ModelName
	Within time.Duration
	// Waiting is how many callers wait for the load.
	Waiting int
}

// Paced grants a slot until ReleasePace or until For has passed.
type Paced struct {
	Slot uint64
	For  time.Duration
}

// ReleasePace gives a slot back; it has no answer.
type ReleasePace struct{ Slot uint64 }

// ServerReport is what an owner knows of one backend server.
type ServerReport = reports.Server

// ModelReport is the state of one replica.
type ModelReport = reports.Replica

// Reports carries reports of backend servers without counts; it has no answer.
type Reports struct {
	Servers []ServerReport
	// Repair reports answer a comparison; many of them are not passed on.
	Repair bool
}

// CompareReports asks a node to compare its reports with the sender's; where they
// differ it sends ReportVersions.
type CompareReports struct{ Digests reports.Digests }

// ReportVersions tells which reports the sender has; it has no answer.
type ReportVersions struct {
	// Buckets are those of which Versions is the whole; the receiver sends back
	// what the sender lacks in them, and asks for what it lacks itself. Without
	// Buckets the sender asks for newer reports of the servers in Versions.
	Buckets  reports.BucketSet
	Versions []reports.Version
}

// Subscribe asks an owner for the loads of servers for a while; it has no answer.
type Subscribe struct{ Servers []domain.ServerID }

// Loads carries counts of requests to a subscriber; it has no answer.
type Loads struct{ Servers []reports.Loads }

// CommandQuery asks the node that holds a claim how the command went. The answer
// is CommandAnswer or Failed.
type CommandQuery struct {
	Key [32]byte
	// Within is how long the asker can wait for the command to finish.
	Within time.Duration
}

// CommandAnswer tells the state of a command at the node that claimed it.
type CommandAnswer struct {
	// Known is false where the node never saw the key.
	Known bool
	// Running is true while the service has not answered.
	Running bool
}

// Suspects spreads hashes of requests that were in flight when a backend server
// crashed; it has no answer.
type Suspects struct{ Suspects []Suspect }

// Suspect is one request content under suspicion.
type Suspect struct {
	Content [32]byte
	// Crashes counts the servers that crashed while they ran it; zero clears it.
	Crashes int
	// Server is the one that crashed last, so that one crash counts once.
	Server domain.ServerID
	// Isolated tells that it ran apart from others in the last crash, Begun that it
	// had given tokens before.
	Isolated, AfterToken bool
}

// SnapshotRequest asks a peer for its encoded fold state. The answer is Snapshot
// or Failed.
type SnapshotRequest struct{ AtLeast domain.Offset }

// Snapshot carries an encoded fold state.
type Snapshot struct {
	Through domain.Offset
	Data    []byte
}

// LogRecords passes records of the decision stream on; it has no answer.
type LogRecords struct {
	First   domain.Offset
	Records [][]byte
}

// AppendRecords asks the relay of the sender's availability zone to append records
// to the decision stream together with those of others. The answer is Appended or
// Failed, whose verdict says whether the records may be in the log.
type AppendRecords struct{ Records [][]byte }

// Appended answers AppendRecords with the offset of the first record.
type Appended struct{ First domain.Offset }

// Applied answers a StatusRequest for AppliedPart, for status and for config
// --wait.
type Applied struct {
	Decision      domain.Offset
	Configuration domain.Offset
	// Loads are the sums of the counts of the servers that the node owns.
	Loads []reports.Loads
}

// Usage tells what a node's callers used since the last one, for limits.
type Usage struct{ Counters []UsageCounter }

// UsageCounter is the demand and use of one limit at one node.
type UsageCounter struct {
	// Name is the limit, for example "team/coral/requests".
	Name string
	// Demand and Used are amounts a second.
	Demand, Used float64
}

// StatusRequest asks a node for a part of its status. The answer is Applied for
// AppliedPart and Status for the others.
type StatusRequest struct {
	Part StatusPart
	// Request is set for DecisionsPart.
	Request domain.RequestID
}

// StatusPart is a part of a node's status.
type StatusPart int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=StatusPart -output=statuspart_string.go

// The parts.
const (
	// AppliedPart is how far the node has folded.
	AppliedPart StatusPart = iota
	// BurnPart is what the node counted for the service-level burn report.
	BurnPart
	// DecisionsPart is what the node decided for one request.
	DecisionsPart
)

// Status is a part of a node's own view as JSON.
type Status struct{ JSON []byte }

// Leave says that the sender stops and takes no new work; it has no answer.
type Leave struct{}

func (Ping) message()            {}
func (Pong) message()            {}
func (Failed) message()          {}
func (Wake) message()            {}
func (Replicas) message()        {}
func (Load) message()            {}
func (Loaded) message()          {}
func (ReleasePermit) message()   {}
func (Released) message()        {}
func (AcquirePace) message()     {}
func (Paced) message()           {}
func (ReleasePace) message()     {}
func (Reports) message()         {}
func (CompareReports) message()  {}
func (ReportVersions) message()  {}
func (Subscribe) message()       {}
func (Loads) message()           {}
func (CommandQuery) message()    {}
func (CommandAnswer) message()   {}
func (Suspects) message()        {}
func (SnapshotRequest) message() {}
func (Snapshot) message()        {}
func (AppendRecords) message()   {}
func (Appended) message()        {}
func (LogRecords) message()      {}
func (Applied) message()         {}
func (Usage) message()           {}
func (StatusRequest) message()   {}
func (Status) message()          {}
func (Leave) message()           {}
