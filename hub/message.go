// Package hub carries messages between the owner of a shard of backend servers
// and the other nodes, as CBOR over WebSocket: each node reports its demand, and
// the owner sends what the servers have loaded and which parts of the platform's
// store have changed. Each node of package entry has a Hub, and dials the Hub of
// the owner. The package does not elect the owner and does not act on the content
// of a message.
package hub

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/quota"
	"github.com/parsleylug/parsleylug/serverload"
	"github.com/parsleylug/parsleylug/suspects"
)

const (
	// maximumMessageBytes is the read limit on both ends of a link.
	maximumMessageBytes = 4 << 20
	// maximumAge bounds the ages in a message.
	maximumAge = 10 * 365 * 24 * time.Hour
	// maximumRequests bounds each number of requests in a demand, so that no sum overflows.
	maximumRequests = 1 << 32
	// maximumSequence is the largest whole number up to which float64, which servers may
	// count in, is exact.
	maximumSequence = 1 << 53
	// maximumNodes is the largest number of nodes. A larger one would leave no node a share of
	// the retry budget.
	maximumNodes = 10_000
	// maximumOffset is the largest position of an offset of the store within its era. Nodes keep
	// the highest offset announced, and count as behind until they have read up to it.
	maximumOffset = domain.MaximumPosition
	// maximumStartTimeMs is the beginning of the year 2100 in Unix milliseconds.
	maximumStartTimeMs = 4_102_444_800_000
)

// Report is a message from a node to the owner.
type Report struct {
	Node domain.NodeID
	// Demands lists the demand for each model or adapter whose demand has changed
	// since the node's last report.
	Demands []placement.Demand
	// CrashReports are the reports of crashed backend servers since the node's last report.
	CrashReports []suspects.Report
	// Traits is what the node has learned of the traits of requests since its last report. The
	// first report over a link has all that the node knows.
	Traits suspects.TraitReport
	// Contents are the request contents that crashed several servers, in the first report over a
	// link.
	Contents []suspects.ContentRecord
	// StaleServers are the servers that lack a model or adapter listed in the
	// node's cached engine state. The owner queries their engine state again.
	StaleServers []domain.ServerID
	// LeavingServers are the servers that the node has learned from their responses to be
	// leaving, since its last report. The first report over a link lists all of them.
	LeavingServers []LeavingServer
	// Loads are the loads of servers that the node has heard of since its last report.
	Loads []serverload.Shared
	// Prefixes are the prompt parts that servers have cached as the node has learned since then.
	Prefixes []serverload.SharedPrefix
	// Uses is what the node tells of the quotas of workspaces since its last report.
	Uses quota.Report
	// StoreFailure is when the platform's store was last away for the node.
	StoreFailure StoreFailure
}

// StoreFailure tells that the platform's store was away for a node. Age is the time since then. The
// zero StoreFailure means that it was not, or too long ago to matter.
type StoreFailure struct {
	Known bool
	Age   time.Duration
}

// LeavingServer is a backend server that said that it leaves. Age is the time since the
// node first learned of it.
type LeavingServer struct {
	fleet.Incarnation
	Age time.Duration
}

// Update is a message from the owner to a node.
type Update struct {
	// Servers lists the servers whose engine state has changed since the last
	// update.
	Servers []ServerState
	// CrashReports are the crash reports that the owner has collected from all nodes
	// since the last update. They include those of the receiving node.
	CrashReports []suspects.Report
	// Traits is what the owner has learned of the traits of requests since the last update.
	// The first update over a link has all that the owner knows.
	Traits suspects.TraitReport
	// Contents are the request contents that crashed several servers, in the first update over a
	// link.
	Contents []suspects.ContentRecord
	// NodeCount is the number of linked nodes plus 1 for the owner itself; 0 if it is
	// unknown.
	NodeCount int
	// CandidateCount is how many of these nodes are no standbys; 0 if it is unknown.
	CandidateCount int
	// Store is the owner's progress in reading the platform's store; zero in an
	// update that does not report it.
	Store StoreUpdate
	// Registrations are the changes of registrations that the owner has read since the last
	// update.
	Registrations RegistrationChanges
	// Loads are the loads of servers that have changed most since the last update.
	Loads []serverload.Shared
	// Prefixes are the prompt parts that servers have cached as the owner has learned since then.
	Prefixes []serverload.SharedPrefix
	// Keys are the API keys that the newest versions of the configuration removed.
	Keys KeyUpdate
	// Grants is what the owner tells of the quotas of workspaces since the last update.
	Grants quota.Update
	// StoreFailure is when the platform's store was last away for the owner, or for a node that has told
	// it.
	StoreFailure StoreFailure
}

// RegistrationChanges are changes of registrations as the owner read them in the platform's store.
// A node that knows all changes before the offset Previous knows all before Offset with them.
type RegistrationChanges struct {
	Previous, Offset domain.Offset
	Changes          []fleet.Change
}

// StoreUpdate contains the offsets up to which the owner has seen changes in the
// platform's store. A node that has read up to them need not read again. A message carries only
// the offsets of the newest era among them; one of a former era arrives as 0.
type StoreUpdate struct {
	ConfigurationOffset, RegistrationsOffset domain.Offset
	// RegistrationsRead is set if the owner has read the registrations; ReadAge is the time
	// since then.
	// ReadOffset is the offset up to which it read.
	RegistrationsRead bool
	ReadAge           time.Duration
	ReadOffset        domain.Offset
}

// ServerState identifies a backend server and contains its engine state.
type ServerState struct {
	ID domain.ServerID
	// The message does not carry the checkpoints on disk and in memory: they would be
	// most of its size, and nodes know them from the registration. EngineState lacks
	// them after decoding.
	EngineState fleet.EngineState
}

type wireReport struct {
	Node     string
	Demands  []wireDemand
	Suspects []wireSuspect
	Doubted  []string
	Leaving  []wireLeaving
	Traits   *wireTraits
	Loads    []wireLoad   `cbor:",omitempty"`
	Prefixes []wirePrefix `cbor:",omitempty"`
	// Contents is missing in messages of earlier versions.
	Contents []wireContent `cbor:",omitempty"`
	// Uses is nil if the node tells nothing. Earlier versions ignore it.
	Uses *wireQuotaReport `cbor:",omitempty"`
	// StoreFailureMilliseconds is nil if there was none. Earlier versions ignore it.
	StoreFailureMilliseconds *int64 `cbor:",omitempty"`
	// SuspectAges are the ages of Suspects in milliseconds. Earlier versions ignore it.
	SuspectAges []int64 `cbor:",omitempty"`
}

type wireLeaving struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Born            int64
	AgeMilliseconds int64
}

type wireDemand struct {
	_                               struct{} `cbor:",toarray"`
	Service, Model, Adapter         string
	Waiting, Running, Arrived, Late int
}

type wireSuspect struct {
	_            struct{} `cbor:",toarray"`
	Content      []byte
	Crashes      int
	Server       string
	Alone, Begun bool
}

type wireUpdate struct {
	Servers  []wireServer
	Suspects []wireSuspect
	Nodes    int
	News     wireStoreUpdate
	// The fields that follow are 0 in messages of earlier versions.
	Candidates          int
	ReadAgeMilliseconds int64
	ReadOffset          uint64
	Traits              *wireTraits
	// Registrations is nil if there are no changes. Earlier versions ignore it and Contents.
	Registrations *wireRegistrations
	Loads         []wireLoad   `cbor:",omitempty"`
	Prefixes      []wirePrefix `cbor:",omitempty"`
	// Keys is nil if there is nothing to say of keys. Earlier versions ignore it.
	Keys     *wireKeys     `cbor:",omitempty"`
	Contents []wireContent `cbor:",omitempty"`
	// Grants is nil if the owner tells nothing. Earlier versions ignore it.
	Grants *wireQuotaUpdate `cbor:",omitempty"`
	// Era is the era of the offsets in News and ReadOffset, RegistrationsEra that of the offsets in
	// Registrations. Earlier versions ignore them.
	Era              uint64 `cbor:",omitempty"`
	RegistrationsEra uint64 `cbor:",omitempty"`
	// StoreFailureMilliseconds is nil if there was none. Earlier versions ignore it.
	StoreFailureMilliseconds *int64 `cbor:",omitempty"`
	// SuspectAges are the ages of Suspects in milliseconds. Earlier versions ignore it.
	SuspectAges []int64 `cbor:",omitempty"`
}

type wireStoreUpdate struct {
	_                            struct{} `cbor:",toarray"`
	Configuration, Registrations uint64
	Read                         bool
}

type wireServer struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Born     int64
	Sequence uint64
	Busy     bool
	Models   []wireLoadedModel
}

type wireLoadedModel struct {
	_        struct{} `cbor:",toarray"`
	Model    string
	Adapters []string
}

// unmarshal decodes a message. It accepts names that are not UTF-8, which callers and servers may
// send: an error would end the link, and the next link too.
func unmarshal(data []byte, v any) error {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		return err
	}
	return mode.Unmarshal(data, v)
}

func encodeReport(r Report) ([]byte, error) {
	w := wireReport{
		Node: string(r.Node), Suspects: encodeSuspects(r.CrashReports), Doubted: domain.Strings(r.StaleServers), Traits: encodeTraits(r.Traits),
		Contents: encodeContents(r.Contents), Uses: encodeQuotaReport(r.Uses), Loads: encodeLoads(r.Loads), Prefixes: encodePrefixes(r.Prefixes),
		StoreFailureMilliseconds: encodeStoreFailure(r.StoreFailure), SuspectAges: encodeSuspectAges(r.CrashReports),
	}
	for _, d := range r.Demands {
		w.Demands = append(w.Demands, wireDemand{
			Service: string(d.Service), Model: string(d.Model), Adapter: string(d.Adapter),
			Waiting: d.Waiting, Running: d.Running, Arrived: d.Arrivals, Late: d.LateResponses,
		})
	}
	for _, l := range r.LeavingServers {
		w.Leaving = append(w.Leaving, wireLeaving{ID: string(l.ID), Born: l.StartedAtMs, AgeMilliseconds: l.Age.Milliseconds()})
	}
	data, err := cbor.Marshal(w)
	return data, errors.WithStack(err)
}

// decodeReport decodes a report without the demands and leaving servers that are out of range.
func decodeReport(data []byte) (Report, error) {
	var w wireReport
	if err := unmarshal(data, &w); err != nil {
		return Report{}, errors.Wrap(err, "decode a node's report")
	}
	r := Report{Node: domain.NodeID(w.Node), StaleServers: domain.Names[domain.ServerID](w.Doubted)}
	for _, d := range w.Demands {
		if !d.isInRange() {
			continue
		}
		r.Demands = append(r.Demands, placement.Demand{
			ModelKey: placement.ModelKey{Service: domain.ServiceName(d.Service), Model: domain.ModelName(d.Model), Adapter: domain.AdapterName(d.Adapter)},
			Waiting:  d.Waiting, Running: d.Running, Arrivals: d.Arrived, LateResponses: d.Late,
		})
	}
	for _, l := range w.Leaving {
		if !l.isInRange() {
			continue
		}
		i := fleet.Incarnation{ID: domain.ServerID(l.ID), StartedAtMs: l.Born}
		r.LeavingServers = append(r.LeavingServers, LeavingServer{Incarnation: i, Age: time.Duration(l.AgeMilliseconds) * time.Millisecond})
	}
	r.Traits, r.Contents = w.Traits.decode(), decodeContents(w.Contents)
	r.Loads, r.Prefixes, r.Uses = decodeLoads(w.Loads), decodePrefixes(w.Prefixes), w.Uses.decode()
	r.StoreFailure = decodeStoreFailure(w.StoreFailureMilliseconds)
	var err error
	r.CrashReports, err = decodeSuspects(w.Suspects, w.SuspectAges)
	return r, err
}

// isInRange reports whether a leaving server is named and its numbers are possible.
func (l *wireLeaving) isInRange() bool {
	return l.ID != "" && l.Born >= 0 && l.Born <= maximumStartTimeMs && l.AgeMilliseconds >= 0 && l.AgeMilliseconds <= maximumAge.Milliseconds()
}

// isInRange reports whether the numbers of a demand are possible.
func (d *wireDemand) isInRange() bool {
	for _, n := range []int{d.Waiting, d.Running, d.Arrived, d.Late} {
		if n < 0 || n > maximumRequests {
			return false
		}
	}
	return true
}

// isInRange reports whether an engine state names a server and its numbers are possible.
func (s *wireServer) isInRange() bool {
	return s.ID != "" && s.Born >= 0 && s.Born <= maximumStartTimeMs && s.Sequence <= maximumSequence
}

func encodeUpdate(u Update) ([]byte, error) {
	era := u.Store.Era()
	store := wireStoreUpdate{Configuration: positionIn(era, u.Store.ConfigurationOffset), Registrations: positionIn(era, u.Store.RegistrationsOffset), Read: u.Store.RegistrationsRead}
	w := wireUpdate{
		Nodes: u.NodeCount, News: store, Suspects: encodeSuspects(u.CrashReports), Traits: encodeTraits(u.Traits),
		Registrations: encodeRegistrations(u.Registrations), Contents: encodeContents(u.Contents),
		Loads: encodeLoads(u.Loads), Prefixes: encodePrefixes(u.Prefixes), Keys: encodeKeys(u.Keys), Grants: encodeQuotaUpdate(u.Grants),
		Era: uint64(era), RegistrationsEra: uint64(u.Registrations.Offset.Era()), StoreFailureMilliseconds: encodeStoreFailure(u.StoreFailure),
		SuspectAges: encodeSuspectAges(u.CrashReports),
	}
	w.Candidates, w.ReadAgeMilliseconds, w.ReadOffset = u.CandidateCount, u.Store.ReadAge.Milliseconds(), positionIn(era, u.Store.ReadOffset)
	for _, s := range u.Servers {
		w.Servers = append(w.Servers, encodeServer(s))
	}
	data, err := cbor.Marshal(w)
	return data, errors.WithStack(err)
}

func encodeServer(s ServerState) wireServer {
	state := s.EngineState
	w := wireServer{ID: string(s.ID), Born: state.StartedAtMs, Sequence: state.Sequence, Busy: state.Busy}
	for _, m := range state.Models {
		w.Models = append(w.Models, wireLoadedModel{Model: string(m.Model), Adapters: domain.Strings(m.Adapters)})
	}
	return w
}

func (s *wireServer) decode() ServerState {
	state := fleet.EngineState{StartedAtMs: s.Born, Sequence: s.Sequence, Busy: s.Busy}
	for _, m := range s.Models {
		state.Models = append(state.Models, fleet.LoadedModel{Model: domain.ModelName(m.Model), Adapters: domain.Names[domain.AdapterName](m.Adapters)})
	}
	return ServerState{ID: domain.ServerID(s.ID), EngineState: state}
}

// isInRange reports whether the offsets of a store update are possible.
func (u *wireStoreUpdate) isInRange() bool {
	return u.Configuration <= maximumOffset && u.Registrations <= maximumOffset
}

// decodeUpdate decodes an update without the engine states, the store update and the number of
// nodes that are out of range.
func decodeUpdate(data []byte) (Update, error) {
	var w wireUpdate
	if err := unmarshal(data, &w); err != nil {
		return Update{}, errors.Wrap(err, "decode the owner's update")
	}
	var u Update
	if w.Nodes >= 0 && w.Nodes <= maximumNodes {
		u.NodeCount = w.Nodes
	}
	if w.Candidates >= 0 && w.Candidates <= maximumNodes {
		u.CandidateCount = w.Candidates
	}
	if age, ok := decodeAge(w.ReadAgeMilliseconds); ok && w.News.isInRange() && w.ReadOffset <= maximumOffset && w.Era <= domain.MaximumEra {
		e := domain.Era(w.Era)
		u.Store = StoreUpdate{ConfigurationOffset: offsetIn(e, w.News.Configuration), RegistrationsOffset: offsetIn(e, w.News.Registrations), RegistrationsRead: w.News.Read, ReadAge: age, ReadOffset: offsetIn(e, w.ReadOffset)}
	}
	for _, s := range w.Servers {
		if !s.isInRange() {
			continue
		}
		u.Servers = append(u.Servers, s.decode())
	}
	u.Traits, u.Contents = w.Traits.decode(), decodeContents(w.Contents)
	u.Registrations, u.Keys = w.Registrations.decode(w.RegistrationsEra), w.Keys.decode()
	u.Loads, u.Prefixes, u.Grants = decodeLoads(w.Loads), decodePrefixes(w.Prefixes), w.Grants.decode()
	u.StoreFailure = decodeStoreFailure(w.StoreFailureMilliseconds)
	var err error
	u.CrashReports, err = decodeSuspects(w.Suspects, w.SuspectAges)
	return u, err
}

func encodeStoreFailure(f StoreFailure) *int64 {
	if !f.Known {
		return nil
	}
	age := f.Age.Milliseconds()
	return &age
}

// decodeStoreFailure returns no failure for an age that is out of range.
func decodeStoreFailure(milliseconds *int64) StoreFailure {
	if milliseconds == nil {
		return StoreFailure{}
	}
	age, ok := decodeAge(*milliseconds)
	return StoreFailure{Known: ok, Age: age}
}

func encodeSuspects(list []suspects.Report) []wireSuspect {
	var w []wireSuspect
	for _, r := range list {
		w = append(w, wireSuspect{Content: r.Content[:], Crashes: r.Crashes, Server: string(r.Server), Alone: r.Isolated, Begun: r.AfterToken})
	}
	return w
}

// encodeSuspectAges returns the ages of reports in milliseconds.
func encodeSuspectAges(list []suspects.Report) []int64 {
	var ages []int64
	for _, r := range list {
		ages = append(ages, r.Age.Milliseconds())
	}
	return ages
}

// decodeSuspects decodes reports. Those of earlier versions have no ages: they count as new, and so
// does one with an age that is out of range.
func decodeSuspects(w []wireSuspect, ages []int64) ([]suspects.Report, error) {
	var list []suspects.Report
	for i, s := range w {
		r := suspects.Report{Crashes: s.Crashes, Server: domain.ServerID(s.Server), Isolated: s.Alone, AfterToken: s.Begun}
		if len(s.Content) != len(r.Content) {
			return nil, errors.Errorf("content hash has %d bytes", len(s.Content))
		}
		copy(r.Content[:], s.Content)
		if i < len(ages) {
			r.Age, _ = decodeAge(ages[i])
		}
		list = append(list, r)
	}
	return list, nil
}
