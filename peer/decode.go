package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/membership"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// errUnknownMessage is returned for messages of a newer version than this node's.
var errUnknownMessage = errors.New("peer: unknown message number")

// decodeFrame decodes a frame but not its message.
func decodeFrame(data []byte) (wireFrame, error) {
	var f wireFrame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return wireFrame{}, errors.Wrap(err, "decode frame")
	}
	return f, nil
}

// decodeMessage decodes the message of a frame.
func decodeMessage(f wireFrame) (Message, error) {
	switch f.Number {
	case numberPing:
		w, err := decodeBody[wireNonce](f)
		return Ping(w), err
	case numberPong:
		w, err := decodeBody[wireNonce](f)
		return Pong(w), err
	case numberFailed:
		w, err := decodeBody[wireFailed](f)
		return failedFromWire(w), err
	case numberWake:
		w, err := decodeBody[wireWake](f)
		return Wake(w), err
	case numberReplicas:
		w, err := decodeBody[wireReplicas](f)
		return Replicas(w), err
	case numberLoad:
		w, err := decodeBody[wireLoad](f)
		return Load(w), err
	case numberLoaded:
		w, err := decodeBody[wireLoaded](f)
		return Loaded{Server: w.Server, Model: w.Model, LoadTime: w.LoadTime, Reports: serversFromWire(w.Reports), Age: w.Age}, err
	case numberAcquirePace:
		w, err := decodeBody[wireAcquirePace](f)
		return AcquirePace(w), err
	case numberPaced:
		w, err := decodeBody[wirePaced](f)
		return Paced(w), err
	case numberReleasePermit:
		w, err := decodeBody[wireReleasePermit](f)
		return ReleasePermit(w), err
	case numberReleased:
		return Released{}, nil
	case numberReleasePace:
		w, err := decodeBody[wireReleasePace](f)
		return ReleasePace(w), err
	case numberReports:
		w, err := decodeBody[wireReports](f)
		return Reports{Servers: serversFromWire(w.Servers), Repair: w.Repair}, err
	case numberCommandQuery:
		w, err := decodeBody[wireCommandQuery](f)
		return CommandQuery{Key: hashFromWire(w.Key), Within: w.Within}, err
	case numberCommandAnswer:
		w, err := decodeBody[wireCommandAnswer](f)
		return CommandAnswer(w), err
	case numberSuspects:
		w, err := decodeBody[wireSuspects](f)
		return suspectsFromWire(w), err
	case numberSnapshotRequest:
		w, err := decodeBody[wireSnapshotRequest](f)
		return SnapshotRequest(w), err
	case numberSnapshot:
		w, err := decodeBody[wireSnapshot](f)
		return Snapshot(w), err
	case numberAppendRecords:
		w, err := decodeBody[wireAppendRecords](f)
		return AppendRecords(w), err
	case numberAppended:
		w, err := decodeBody[wireAppended](f)
		return Appended(w), err
	case numberLogRecords:
		w, err := decodeBody[wireLogRecords](f)
		return LogRecords(w), err
	default:
		return decodeNodeMessage(f)
	}
}

func decodeNodeMessage(f wireFrame) (Message, error) {
	switch f.Number {
	case numberApplied:
		w, err := decodeBody[wireApplied](f)
		return Applied{Decision: w.Decision, Configuration: w.Configuration, Loads: loadsFromWire(w.Loads)}, err
	case numberUsage:
		w, err := decodeBody[wireUsage](f)
		return usageFromWire(w), err
	case numberStatusRequest:
		w, err := decodeBody[wireStatusRequest](f)
		return StatusRequest{Part: StatusPart(w.Part), Request: w.Request}, err
	case numberStatus:
		w, err := decodeBody[wireStatus](f)
		return Status(w), err
	case numberLeave:
		return Leave{}, nil
	case numberHello:
		w, err := decodeBody[wireHello](f)
		return Hello{Version: w.Version, Cluster: w.Cluster, To: w.To, Self: updateFromWire(w.Self)}, err
	case numberWelcome:
		w, err := decodeBody[wireWelcome](f)
		return Welcome{Self: updateFromWire(w.Self), DiallerUpdates: updatesFromWire(w.DiallerUpdates)}, err
	case numberGossip:
		w, err := decodeBody[wireGossip](f)
		return Gossip{Updates: updatesFromWire(w.Updates)}, err
	case numberCompare:
		w, err := decodeBody[wireCompare](f)
		return Compare{Digests: digestsFromWire(w.Digests)}, err
	case numberDiffers:
		w, err := decodeBody[wireDiffers](f)
		return Differs{Updates: updatesFromWire(w.Updates), Digests: digestsFromWire(w.Digests)}, err
	default:
		return decodeReportMessage(f)
	}
}

func decodeBody[T any](f wireFrame) (T, error) {
	var w T
	err := cbor.Unmarshal(f.Body, &w)
	return w, errors.Wrap(err, "decode message")
}

// failedFromWire maps unknown names to the zero values of Verdict and Reason, MayHaveRun
// and Unknown, which are safe for any outcome.
func failedFromWire(w wireFailed) Failed {
	return Failed{
		Verdict:    enumByName(w.Verdict, verdict.Ran),
		Reason:     enumByName(w.Reason, verdict.QuotaUnknown),
		Message:    w.Message,
		RetryAfter: w.RetryAfter,
	}
}

type enum interface {
	~int
	String() string
}

// enumByName returns the value up to last that has the name, or the zero value.
func enumByName[T enum](name string, last T) T {
	for v := T(0); v <= last; v++ {
		if v.String() == name {
			return v
		}
	}
	return 0
}

func suspectsFromWire(w wireSuspects) Suspects {
	m := Suspects{Suspects: make([]Suspect, len(w.Suspects))}
	for i, s := range w.Suspects {
		m.Suspects[i] = Suspect{Content: hashFromWire(s.Content), Crashes: s.Crashes, Server: s.Server, Isolated: s.Isolated, AfterToken: s.AfterToken}
	}
	for _, c := range w.Crashes {
		if c.Age >= 0 && c.Server != "" {
			m.Traits.Crashes = append(m.Traits.Crashes, suspects.TraitCrash(c))
		}
	}
	for _, c := range w.Completions {
		if c.Age >= 0 {
			m.Traits.Completions = append(m.Traits.Completions, suspects.TraitCompletion(c))
		}
	}
	for _, c := range w.Refusals {
		if c.Number >= 1 && c.Remaining >= 0 {
			m.Traits.Refusals = append(m.Traits.Refusals, suspects.TraitRefusal(c))
		}
	}
	return m
}

func usageFromWire(w wireUsage) Usage {
	m := Usage{Counters: make([]UsageCounter, len(w.Counters))}
	for i, c := range w.Counters {
		m.Counters[i] = UsageCounter(c)
	}
	return m
}

func hashFromWire(b []byte) [32]byte {
	var h [32]byte
	copy(h[:], b)
	return h
}

func updateFromWire(w wireUpdate) membership.Update {
	status := membership.Status(w.Status)
	if status < membership.Listed || status > membership.Gone {
		status = membership.Listed
	}
	return membership.Update{Member: Member(w.Member), Status: status, Incarnation: w.Incarnation}
}

func updatesFromWire(updates []wireUpdate) []membership.Update {
	m := make([]membership.Update, len(updates))
	for i, w := range updates {
		m[i] = updateFromWire(w)
	}
	return m
}

func digestsFromWire(digests []uint64) membership.Digests {
	var d membership.Digests
	copy(d[:], digests)
	return d
}
