package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/membership"
)

// encodeFrame encodes a frame with its message; m is nil for frameCancel.
func encodeFrame(f wireFrame, m Message) ([]byte, error) {
	if m == nil {
		f.Body = cbor.RawMessage{cborNull}
		return cbor.Marshal(f)
	}
	number, body := toWire(m)
	if number == numberNone {
		return nil, errors.Errorf("peer: message type %T has no number", m)
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	f.Number, f.Body = number, encoded
	return cbor.Marshal(f)
}

const cborNull = 0xf6

// toWire returns the number and the wire type of a message.
func toWire(m Message) (messageNumber, any) {
	switch m := m.(type) {
	case Ping:
		return numberPing, wireNonce(m)
	case Pong:
		return numberPong, wireNonce(m)
	case Failed:
		return numberFailed, failedToWire(m)
	case Wake:
		return numberWake, wireWake(m)
	case Replicas:
		return numberReplicas, wireReplicas(m)
	case Load:
		return numberLoad, wireLoad(m)
	case Loaded:
		return numberLoaded, wireLoaded{Server: m.Server, Model: m.Model, LoadTime: m.LoadTime, Reports: serversToWire(m.Reports), Age: m.Age}
	case AcquirePace:
		return numberAcquirePace, wireAcquirePace(m)
	case Paced:
		return numberPaced, wirePaced(m)
	case ReleasePermit:
		return numberReleasePermit, wireReleasePermit(m)
	case Released:
		return numberReleased, wireEmpty{}
	case ReleasePace:
		return numberReleasePace, wireReleasePace(m)
	case Reports:
		return numberReports, wireReports{Servers: serversToWire(m.Servers), Repair: m.Repair}
	case CommandQuery:
		return numberCommandQuery, wireCommandQuery{Key: m.Key[:], Within: m.Within}
	case CommandAnswer:
		return numberCommandAnswer, wireCommandAnswer(m)
	case Suspects:
		return numberSuspects, suspectsToWire(m)
	case SnapshotRequest:
		return numberSnapshotRequest, wireSnapshotRequest(m)
	case Snapshot:
		return numberSnapshot, wireSnapshot(m)
	case AppendRecords:
		return numberAppendRecords, wireAppendRecords(m)
	case Appended:
		return numberAppended, wireAppended(m)
	case LogRecords:
		return numberLogRecords, wireLogRecords(m)
	default:
		return controlToWire(m)
	}
}

func controlToWire(m Message) (messageNumber, any) {
	switch m := m.(type) {
	case Applied:
		return numberApplied, wireApplied{Decision: m.Decision, Configuration: m.Configuration, Loads: loadsToWire(m.Loads)}
	case Usage:
		return numberUsage, usageToWire(m)
	case StatusRequest:
		return numberStatusRequest, wireStatusRequest{Part: int(m.Part), Request: m.Request}
	case Status:
		return numberStatus, wireStatus(m)
	case Leave:
		return numberLeave, wireEmpty{}
	case Hello:
		return numberHello, wireHello{Version: m.Version, Cluster: m.Cluster, To: m.To, Self: updateToWire(m.Self)}
	case Welcome:
		return numberWelcome, wireWelcome{Self: updateToWire(m.Self), DiallerUpdates: updatesToWire(m.DiallerUpdates)}
	case Gossip:
		return numberGossip, wireGossip{Updates: updatesToWire(m.Updates)}
	case Compare:
		return numberCompare, wireCompare{Digests: m.Digests[:]}
	case Differs:
		return numberDiffers, wireDiffers{Updates: updatesToWire(m.Updates), Digests: m.Digests[:]}
	default:
		return reportMessageToWire(m)
	}
}

func failedToWire(m Failed) wireFailed {
	return wireFailed{
		Verdict:    m.Verdict.String(),
		Reason:     m.Reason.String(),
		Message:    m.Message,
		RetryAfter: m.RetryAfter,
	}
}

func suspectsToWire(m Suspects) wireSuspects {
	w := wireSuspects{Suspects: make([]wireSuspect, len(m.Suspects))}
	for i, s := range m.Suspects {
		w.Suspects[i] = wireSuspect{Content: s.Content[:], Crashes: s.Crashes, Server: s.Server, Isolated: s.Isolated, AfterToken: s.AfterToken}
	}
	for _, c := range m.Traits.Crashes {
		w.Crashes = append(w.Crashes, wireTraitCrash(c))
	}
	for _, c := range m.Traits.Completions {
		w.Completions = append(w.Completions, wireTraitCompletion(c))
	}
	for _, c := range m.Traits.Refusals {
		w.Refusals = append(w.Refusals, wireTraitRefusal(c))
	}
	return w
}

func usageToWire(m Usage) wireUsage {
	w := wireUsage{Counters: make([]wireUsageCounter, len(m.Counters))}
	for i, c := range m.Counters {
		w.Counters[i] = wireUsageCounter(c)
	}
	return w
}

// updateToWire omits everything but the node ID for a node that is gone.
func updateToWire(u membership.Update) wireUpdate {
	if u.Status == membership.Gone {
		u.Member = Member{Node: u.Member.Node}
	}
	return wireUpdate{Member: wireMember(u.Member), Status: int(u.Status), Incarnation: u.Incarnation}
}

func updatesToWire(updates []membership.Update) []wireUpdate {
	w := make([]wireUpdate, len(updates))
	for i, u := range updates {
		w[i] = updateToWire(u)
	}
	return w
}
