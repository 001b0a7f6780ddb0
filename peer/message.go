package peer

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/reports"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// Message is a message between two nodes. Each type below has a number in the codec. A
// request with an unknown number gets the response Failed.
type Message interface{ message() }

// Ping requests a Pong, which shows that the connection makes progress.
type Ping struct{ Nonce uint64 }

// Pong is the response to a Ping, with its Nonce.
type Pong struct{ Nonce uint64 }

// Failed is the response to a request that failed.
type Failed struct {
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Message    string
	RetryAfter time.Duration
}

// Wake asks the coordinator of a model for replicas that have it loaded, and to load the
// model on demand if there are none. The response is Replicas or Failed.
type Wake struct {
	Request  domain.RequestID
	Model    domain.ModelName
	Adapter  domain.AdapterName
	Team     domain.TeamName
	Priority domain.Priority
	// Region is the region of the node that received the caller's request.
	Region domain.Region
	// Within is how long the caller can still wait for a first token.
	Within time.Duration
	// Exclude lists servers on which an attempt of this request just failed.
	Exclude []domain.ServerID
}

// Replicas is the response to Wake: the servers that have the model loaded.
type Replicas struct {
	Model   domain.ModelName
	Servers []domain.ServerID
	// ColdStart reports whether this request was a cold start: the model had to be loaded for
	// it.
	ColdStart bool
	// ValidFor is how long the requester may route by this response before it asks again.
	ValidFor time.Duration
}

// Load asks the owner of a server to load a model there, and to attach a permit first if
// there is none. The response is Loaded or Failed.
type Load struct {
	Server  domain.ServerID
	Model   domain.ModelName
	Adapter domain.AdapterName
	// Within is how long the requester waits. The load of the model continues after it.
	Within time.Duration
}

// Loaded is the response to Load after the server has confirmed the load.
type Loaded struct {
	Server domain.ServerID
	Model  domain.ModelName
	// LoadTime is how long the owner took for the load.
	LoadTime time.Duration
	// Reports holds the server's report after the load, or nothing, so that the requester
	// need not wait for the next broadcast.
	Reports []ServerReport
	// Age is the time since the server confirmed that report.
	Age time.Duration
}

// ReleasePermit asks the owner of a server to release a permit whose replica is not
// loaded, so that another server can load the model. The response is Released or Failed.
type ReleasePermit struct {
	Server domain.ServerID
	Model  domain.ModelName
}

// Released is the response to ReleasePermit after the release is in the log.
type Released struct{}

// AcquirePace asks the pacer, the rate limiter of loads from the weight store, for a slot.
// The response is Paced or Failed.
type AcquirePace struct {
	Model domain.ModelName
	// Within is how long the requester waits for the slot.
	Within time.Duration
	// Waiting is the number of callers that wait for the load.
	Waiting int
}

// Paced grants a slot. The grant ends with ReleasePace, or after the duration ValidFor.
type Paced struct {
	Slot     uint64
	ValidFor time.Duration
}

// ReleasePace gives a slot back; it has no response.
type ReleasePace struct{ Slot uint64 }

// ServerReport is the state of one backend server as its owner knows it.
type ServerReport = reports.Server

// ModelReport is the state of one replica.
type ModelReport = reports.Replica

// Reports carries reports of backend servers without loads; it has no response.
type Reports struct {
	Servers []ServerReport
	// Repair is true for reports that a comparison found missing. They are not forwarded
	// if there are many.
	Repair bool
}

// CompareReports holds the digests of the sender's reports. A node whose reports differ
// sends ReportVersions.
type CompareReports struct{ Digests reports.Digests }

// ReportVersions lists the versions of the reports that the sender has; it has no
// response.
type ReportVersions struct {
	// Buckets are the buckets for which Versions is complete. The receiver sends the
	// reports in them that the sender lacks, and requests those that it lacks itself.
	// Without Buckets the sender requests newer reports of the servers in Versions.
	Buckets  reports.BucketSet
	Versions []reports.Version
}

// Subscribe asks an owner to send the loads of servers for a limited time; it has no
// response.
type Subscribe struct{ Servers []domain.ServerID }

// Loads carries the counts of running and waiting requests to a subscriber; it has no
// response.
type Loads struct{ Servers []reports.Loads }

// CommandQuery asks the node that holds the claim of a command for its state. The
// response is CommandAnswer or Failed.
type CommandQuery struct {
	Key [32]byte
	// Within is how long the requester can wait for the command to finish.
	Within time.Duration
}

// CommandAnswer is the state of a command at the node that claimed it.
type CommandAnswer struct {
	// Known is false if the node has no record of the key.
	Known bool
	// Running is true until the service has responded.
	Running bool
}

// Suspects carries crash reports: hashes of request contents that were running on a
// backend server that crashed, and what its sender has learned of traits of requests. It has no
// response.
type Suspects struct {
	Suspects []Suspect
	Traits   suspects.TraitReport
}

// Suspect is the crash report of one request content.
type Suspect struct {
	Content [32]byte
	// Crashes counts the servers that crashed while running the content; zero clears the
	// content.
	Crashes int
	// Server is the server that crashed last. It identifies the crash, so that several
	// reports of one crash are counted once.
	Server domain.ServerID
	// Isolated is true if the content ran in isolation in the last crash. AfterToken is
	// true if it had already generated tokens.
	Isolated, AfterToken bool
}

// SnapshotRequest asks a peer for a snapshot of its replicated state. The response is
// Snapshot or Failed.
type SnapshotRequest struct{ AtLeast domain.Offset }

// Snapshot carries the encoded state after the record at offset Through.
type Snapshot struct {
	Through domain.Offset
	Data    []byte
}

// LogRecords forwards records of the decision stream; it has no response.
type LogRecords struct {
	First   domain.Offset
	Records [][]byte
}

// AppendRecords asks the relay of the sender's availability zone to append records to the
// decision stream in one batch with those of other nodes. The response is Appended or
// Failed, whose verdict says whether the records may be in the log.
type AppendRecords struct{ Records [][]byte }

// Appended is the response to AppendRecords, with the offset of the first record.
type Appended struct{ First domain.Offset }

// Applied is the response to a StatusRequest for AppliedPart. It serves the status
// command and config --wait.
type Applied struct {
	Decision      domain.Offset
	Configuration domain.Offset
	// Loads has an element for each server that the node owns and has a usable report
	// of, with the sums over the server's models.
	Loads []reports.Loads
}

// Usage carries the sender's demand and use of each limit; it has no response.
type Usage struct{ Counters []UsageCounter }

// UsageCounter is the demand and use of one limit at one node.
type UsageCounter struct {
	// Name is the name of the limit, for example "team/coral/requests".
	Name string
	// Demand and Used are amounts per second.
	Demand, Used float64
}

// StatusRequest asks a node for a part of its status. The response is Applied for
// AppliedPart and Status for the others.
type StatusRequest struct {
	Part StatusPart
	// Request is set for DecisionsPart.
	Request domain.RequestID
}

// StatusPart is a part of a node's status.
type StatusPart int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=StatusPart -output=statuspart_string.go

// The parts of a node's status.
const (
	// AppliedPart is the offset up to which the node has applied the log.
	AppliedPart StatusPart = iota
	// BurnPart is the node's counts for the report on error budget burn of service-level
	// objectives.
	BurnPart
	// DecisionsPart is the record of the node's decisions for one request.
	DecisionsPart
)

// Status is a part of a node's status as JSON.
type Status struct{ JSON []byte }

// Leave announces that the sender shuts down and takes no new work; it has no response.
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
