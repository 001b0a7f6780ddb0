package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/suspects"
)

// wireFrame is one WebSocket message.
type wireFrame struct {
	_      struct{} `cbor:",toarray"`
	Kind   frameKind
	Number messageNumber
	// Call pairs a response with its request; zero for one-way messages.
	Call uint64
	// WithinMicroseconds is the time left until the request's deadline; zero means no
	// deadline.
	WithinMicroseconds int64
	Body               cbor.RawMessage
}

type (
	wireFailed struct {
		Verdict    string        `cbor:"1,keyasint,omitempty"`
		Reason     string        `cbor:"2,keyasint,omitempty"`
		Message    string        `cbor:"3,keyasint,omitempty"`
		RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	}
	wireNonce struct {
		Nonce uint64 `cbor:"1,keyasint,omitempty"`
	}
	wireWake struct {
		Request  domain.RequestID   `cbor:"1,keyasint,omitempty"`
		Model    domain.ModelName   `cbor:"2,keyasint,omitempty"`
		Adapter  domain.AdapterName `cbor:"3,keyasint,omitempty"`
		Team     domain.TeamName    `cbor:"4,keyasint,omitempty"`
		Priority domain.Priority    `cbor:"5,keyasint,omitempty"`
		Region   domain.Region      `cbor:"6,keyasint,omitempty"`
		Within   time.Duration      `cbor:"7,keyasint,omitempty"`
		Exclude  []domain.ServerID  `cbor:"8,keyasint,omitempty"`
	}
	wireReplicas struct {
		Model     domain.ModelName  `cbor:"1,keyasint,omitempty"`
		Servers   []domain.ServerID `cbor:"2,keyasint,omitempty"`
		ColdStart bool              `cbor:"3,keyasint,omitempty"`
		ValidFor  time.Duration     `cbor:"4,keyasint,omitempty"`
	}
	wireLoad struct {
		Server  domain.ServerID    `cbor:"1,keyasint,omitempty"`
		Model   domain.ModelName   `cbor:"2,keyasint,omitempty"`
		Adapter domain.AdapterName `cbor:"3,keyasint,omitempty"`
		Within  time.Duration      `cbor:"4,keyasint,omitempty"`
	}
	wireLoaded struct {
		Server   domain.ServerID    `cbor:"1,keyasint,omitempty"`
		Model    domain.ModelName   `cbor:"2,keyasint,omitempty"`
		LoadTime time.Duration      `cbor:"3,keyasint,omitempty"`
		Reports  []wireServerReport `cbor:"4,keyasint,omitempty"`
		Age      time.Duration      `cbor:"5,keyasint,omitempty"`
	}
	wireAcquirePace struct {
		Model   domain.ModelName `cbor:"1,keyasint,omitempty"`
		Within  time.Duration    `cbor:"2,keyasint,omitempty"`
		Waiting int              `cbor:"3,keyasint,omitempty"`
	}
	wirePaced struct {
		Slot     uint64        `cbor:"1,keyasint,omitempty"`
		ValidFor time.Duration `cbor:"2,keyasint,omitempty"`
	}
	wireReleasePermit struct {
		Server domain.ServerID  `cbor:"1,keyasint,omitempty"`
		Model  domain.ModelName `cbor:"2,keyasint,omitempty"`
	}
	wireReleasePace struct {
		Slot uint64 `cbor:"1,keyasint,omitempty"`
	}
	wireReports struct {
		Servers []wireServerReport `cbor:"1,keyasint,omitempty"`
		Repair  bool               `cbor:"2,keyasint,omitempty"`
	}
	wireCompareReports struct {
		Digests []uint64 `cbor:"1,keyasint,omitempty"`
	}
	wireReportVersions struct {
		Buckets  uint16        `cbor:"1,keyasint,omitempty"`
		Versions []wireVersion `cbor:"2,keyasint,omitempty"`
	}
	wireVersion struct {
		Server   domain.ServerID `cbor:"1,keyasint,omitempty"`
		Fence    domain.Fence    `cbor:"2,keyasint,omitempty"`
		Sequence uint64          `cbor:"3,keyasint,omitempty"`
	}
	wireSubscribe struct {
		Servers []domain.ServerID `cbor:"1,keyasint,omitempty"`
	}
	wireLoadCounts struct {
		Servers []wireServerLoads `cbor:"1,keyasint,omitempty"`
	}
	wireServerLoads struct {
		Server   domain.ServerID `cbor:"1,keyasint,omitempty"`
		Fence    domain.Fence    `cbor:"2,keyasint,omitempty"`
		Sequence uint64          `cbor:"3,keyasint,omitempty"`
		Models   []wireCounts    `cbor:"4,keyasint,omitempty"`
	}
	wireCounts struct {
		Model   domain.ModelName `cbor:"1,keyasint,omitempty"`
		Running int              `cbor:"2,keyasint,omitempty"`
		Waiting int              `cbor:"3,keyasint,omitempty"`
	}
	wireServerReport struct {
		Server     domain.ServerID   `cbor:"1,keyasint,omitempty"`
		Fence      domain.Fence      `cbor:"2,keyasint,omitempty"`
		Sequence   uint64            `cbor:"3,keyasint,omitempty"`
		Alive      bool              `cbor:"4,keyasint,omitempty"`
		Leaving    bool              `cbor:"5,keyasint,omitempty"`
		FreeMemory domain.Bytes      `cbor:"6,keyasint,omitempty"`
		Models     []wireModelReport `cbor:"7,keyasint,omitempty"`
	}
	wireModelReport struct {
		Model    domain.ModelName     `cbor:"1,keyasint,omitempty"`
		Running  int                  `cbor:"2,keyasint,omitempty"`
		Waiting  int                  `cbor:"3,keyasint,omitempty"`
		Loading  bool                 `cbor:"4,keyasint,omitempty"`
		ReadyIn  time.Duration        `cbor:"5,keyasint,omitempty"`
		Adapters []domain.AdapterName `cbor:"6,keyasint,omitempty"`
	}
	wireCommandQuery struct {
		Key    []byte        `cbor:"1,keyasint,omitempty"`
		Within time.Duration `cbor:"2,keyasint,omitempty"`
	}
	wireCommandAnswer struct {
		Known   bool `cbor:"1,keyasint,omitempty"`
		Running bool `cbor:"2,keyasint,omitempty"`
	}
	wireSuspects struct {
		Suspects    []wireSuspect         `cbor:"1,keyasint,omitempty"`
		Crashes     []wireTraitCrash      `cbor:"2,keyasint,omitempty"`
		Completions []wireTraitCompletion `cbor:"3,keyasint,omitempty"`
		Refusals    []wireTraitRefusal    `cbor:"4,keyasint,omitempty"`
	}
	wireTraitCrash struct {
		Server domain.ServerID  `cbor:"1,keyasint,omitempty"`
		Age    time.Duration    `cbor:"2,keyasint,omitempty"`
		Traits []suspects.Trait `cbor:"3,keyasint,omitempty"`
		Ran    []time.Duration  `cbor:"4,keyasint,omitempty"`
	}
	wireTraitCompletion struct {
		Trait suspects.Trait `cbor:"1,keyasint,omitempty"`
		Age   time.Duration  `cbor:"2,keyasint,omitempty"`
	}
	wireTraitRefusal struct {
		Trait     suspects.Trait `cbor:"1,keyasint,omitempty"`
		Number    int            `cbor:"2,keyasint,omitempty"`
		Remaining time.Duration  `cbor:"3,keyasint,omitempty"`
	}
	wireSuspect struct {
		Content    []byte          `cbor:"1,keyasint,omitempty"`
		Crashes    int             `cbor:"2,keyasint,omitempty"`
		Server     domain.ServerID `cbor:"3,keyasint,omitempty"`
		Isolated   bool            `cbor:"4,keyasint,omitempty"`
		AfterToken bool            `cbor:"5,keyasint,omitempty"`
	}
	wireSnapshotRequest struct {
		AtLeast domain.Offset `cbor:"1,keyasint,omitempty"`
	}
	wireSnapshot struct {
		Through domain.Offset `cbor:"1,keyasint,omitempty"`
		Data    []byte        `cbor:"2,keyasint,omitempty"`
	}
	wireAppendRecords struct {
		Records [][]byte `cbor:"1,keyasint,omitempty"`
	}
	wireAppended struct {
		First domain.Offset `cbor:"1,keyasint,omitempty"`
	}
	wireLogRecords struct {
		First   domain.Offset `cbor:"1,keyasint,omitempty"`
		Records [][]byte      `cbor:"2,keyasint,omitempty"`
	}
	wireApplied struct {
		Decision      domain.Offset `cbor:"1,keyasint,omitempty"`
		Configuration domain.Offset `cbor:"2,keyasint,omitempty"`

		Loads []wireServerLoads `cbor:"3,keyasint,omitempty"`
	}
	wireUsage struct {
		Counters []wireUsageCounter `cbor:"1,keyasint,omitempty"`
	}
	wireUsageCounter struct {
		Name   string  `cbor:"1,keyasint,omitempty"`
		Demand float64 `cbor:"2,keyasint,omitempty"`
		Used   float64 `cbor:"3,keyasint,omitempty"`
	}
	wireStatusRequest struct {
		Part    int              `cbor:"1,keyasint,omitempty"`
		Request domain.RequestID `cbor:"2,keyasint,omitempty"`
	}
	wireStatus struct {
		JSON []byte `cbor:"1,keyasint,omitempty"`
	}
	wireEmpty struct{}
)

type (
	wireMember struct {
		Node         domain.NodeID `cbor:"1,keyasint,omitempty"`
		Address      string        `cbor:"2,keyasint,omitempty"`
		AdminAddress string        `cbor:"3,keyasint,omitempty"`
		Region       domain.Region `cbor:"4,keyasint,omitempty"`
		Zone         domain.Zone   `cbor:"5,keyasint,omitempty"`
		Leaving      bool          `cbor:"6,keyasint,omitempty"`
	}
	wireUpdate struct {
		Member      wireMember `cbor:"1,keyasint,omitempty"`
		Status      int        `cbor:"2,keyasint,omitempty"`
		Incarnation uint64     `cbor:"3,keyasint,omitempty"`
	}
	wireHello struct {
		Version int           `cbor:"1,keyasint,omitempty"`
		Cluster string        `cbor:"2,keyasint,omitempty"`
		To      domain.NodeID `cbor:"3,keyasint,omitempty"`
		Self    wireUpdate    `cbor:"4,keyasint,omitempty"`
	}
	wireWelcome struct {
		Self           wireUpdate   `cbor:"1,keyasint,omitempty"`
		DiallerUpdates []wireUpdate `cbor:"2,keyasint,omitempty"`
	}
	wireGossip struct {
		Updates []wireUpdate `cbor:"1,keyasint,omitempty"`
	}
	wireCompare struct {
		Digests []uint64 `cbor:"1,keyasint,omitempty"`
	}
	wireDiffers struct {
		Updates []wireUpdate `cbor:"1,keyasint,omitempty"`
		Digests []uint64     `cbor:"2,keyasint,omitempty"`
	}
)
