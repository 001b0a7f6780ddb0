package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/membership"
	"github.com/parsleylug/parsleylug/verdict"
)

// errUnknownMessage means that the sender is newer than this node.
var errUnknownMessage = errors.New("peer: unknown message number")

// decodeFrame decodes a frame without its message.
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
		w, err := body[wireNonce](f)
		return Ping(w), err
	case numberPong:
		w, err := body[wireNonce](f)
		return Pong(w), err
	case numberFailed:
		w, err := body[wireFailed](f)
		return failedFromWire(w), err
	case numberWake:
		w, err := body[wireWake](f)
		return Wake(w), err
	case numberReplicas:
		w, err := body[wireReplicas](f)
		return Replicas(w), err
	case numberLoad:
		w, err := body[wireLoad](f)
		return Load(w), err
	case numberLoaded:
		w, err := body[wireLoaded](f)
		return Loaded{Server: w.Server, Model: w.Model, LoadTime: w.LoadTime, Reports: serversFromWire(w.Reports), Age: w.Age}, err
	case numberAcquirePace:
		w, err := body[wireAcquirePace](f)
		return AcquirePace(w), err
	case numberPaced:
		w, err := body[wirePaced](f)
		return Paced(w), err
	case numberReleasePermit:
		w, err := body[wireReleasePermit](f)
		return ReleasePermit(w), err
	case numberReleased:
		return Released{}, nil
	case numberReleasePace:
		w, err := body[wireReleasePace](f)
		return ReleasePace(w), err
	case numberReports:
		w, err := body[wireReports](f)
		return Reports{Servers: serversFromWire(w.Servers), Repair: w.Repair}, err
	case numberCommandQuery:
		w, err := body[wireCommandQuery](f)
		return CommandQuery{Key: hashFromWire(w.Key), Within: w.Within}, err
	case numberCommandAnswer:
		w, err := body[wireCommandAnswer](f)
		return CommandAnswer(w), err
	case numberSuspects:
		w, err := body[wireSuspects](f)
		return suspectsFromWire(w), err
	case numberSnapshotRequest:
		w, err := body[wireSnapshotRequest](f)
		return SnapshotRequest(w), err
	case numberSnapshot:
		w, err := body[wireSnapshot](f)
		return Snapshot(w), err
	case numberAppendRecords:
		w, err := body[wireAppendRecords](f)
		return AppendRecords(w), err
	case numberAppended:
		w, err := body[wireAppended](f)
		return Appended(w), err
	case numberLogRecords:
		w, err := body[wireLogRecords](f)
		return LogRecords(w), err
	default:
		return decodeControl(f)
	}
}

func decodeControl(f wireFrame) (Message, error) {
	switch f.Number {
	case numberApplied:
		w, err := body[wireApplied](f)
		return Applied{Decision: w.Decision, Configuration: w.Configuration, Loads: loadsFromWire(w.Loads)}, err
	case numberUsage:
		w, err := body[wireUsage](f)
		return usageFromWire(w), err
	case numberStatusRequest:
		w, err := body[wireStatusRequest](f)
		return StatusRequest{Part: StatusPart(w.Part), Request: w.Request}, err
	case numberStatus:
		w, err := body[wireStatus](f)
		return Status(w), err
	case numberLeave:
		return Leave{}, nil
	case numberHello:
		w, err := body[wireHello](f)
		return Hello{Version: w.Version, Cluster: w.Cluster, To: w.To, Self: updateFromWire(w.Self)}, err
	case numberWelcome:
		w, err := body[wireWelcome](f)
		return Welcome{Self: updateFromWire(w.Self), News: updatesFromWire(w.News)}, err
	case numberGossip:
		w, err := body[wireGossip](f)
		return Gossip{Updates: updatesFromWire(w.Updates)}, err
	case numberCompare:
		w, err := body[wireCompare](f)
		return Compare{Digests: digestsFromWire(w.Digests)}, err
	case numberDiffers:
		w, err := body[wireDiffers](f)
		return Differs{Updates: updatesFromWire(w.Updates), Digests: digestsFromWire(w.Digests)}, err
	default:
		return decodeNews(f)
	}
}

func body[T any](f wireFrame) (T, error) {
	var w T
	err := cbor.Unmarshal(f.Body, &w)
	return w, errors.Wrap(err, "decode message")
}

// failedFromWire maps names that this node does not know to the zero values,
// which claim nothing.
func failedFromWire(w wireFailed) Failed {
	return Failed{
		Verdict:    named(w.Verdict, verdict.Ran),
		Reason:     named(w.Reason, verdict.ModelPaused),
		Message:    w.Message,
		RetryAfter: w.RetryAfter,
	}
}

type enum interface {
	~int
	String() string
}

// named returns the value up to last that has the name, or the zero value.
func named[T enum](name string, last T) T {
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
		m.Suspects[i] = Suspect{Content: hashFromWire(s.Content), Crashes: s.Crashes, Server: s.Server, Isolated: s.Alone, AfterToken: s.Begun}
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
