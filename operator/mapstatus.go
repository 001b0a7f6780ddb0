package operator

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// WireOf returns the JSON form of a status.
func WireOf(s Status) WireStatus { return wireOfStatus(s) }

// mapAll maps a list; the result of an empty list is empty, not nil.
func mapAll[A, B any](list []A, one func(A) B) []B {
	out := make([]B, 0, len(list))
	for _, a := range list {
		out = append(out, one(a))
	}
	return out
}

func parseTime(s string) time.Time {
	at, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return time.Time{}
	}
	return at
}

func severityOf(s string) Severity {
	for _, one := range []Severity{Note, Warning, Urgent} {
		if one.String() == s {
			return one
		}
	}
	return Note
}

func wireOfStatus(s Status) WireStatus {
	return WireStatus{
		Node:     string(s.Node),
		Version:  s.Version,
		At:       s.At.UTC().Format(time.RFC3339Nano),
		Ready:    s.Ready,
		NotReady: s.NotReady,
		Log:      wireOfLogStatus(s.Log),
		Nodes:    mapAll(s.Nodes, wireOfNodeStatus),
		Servers:  mapAll(s.Servers, wireOfServerStatus),
		Permits:  mapAll(s.Permits, wireOfPermitStatus),
		Doubts:   mapAll(s.UnknownOutcomes, wireOfDoubtStatus),
		Queues:   mapAll(s.Queues, wireOfQueueStatus),
		Wakes:    mapAll(s.ColdStarts, wireOfWakeStatus),
		Breakers: mapAll(s.Ejections, wireOfBreakerStatus),
		Suspects: mapAll(s.Suspects, wireOfSuspectStatus),
		Problems: mapAll(s.Problems, wireOfProblem),
	}
}

func wireOfLogStatus(s LogStatus) WireLogStatus {
	return WireLogStatus{
		Up:                      s.Up,
		Decision:                uint64(s.Decision),
		Configuration:           uint64(s.Configuration),
		LagRecords:              s.LagRecords,
		SinceAnswerMilliseconds: s.SinceResponse.Milliseconds(),
	}
}

func wireOfNodeStatus(s NodeStatus) WireNodeStatus {
	return WireNodeStatus{
		Node:          string(s.Node),
		Address:       s.Address,
		Region:        string(s.Region),
		Zone:          string(s.Zone),
		Alive:         s.Alive,
		Leaving:       s.Leaving,
		Roles:         s.Roles,
		Leases:        s.Leases,
		Configuration: uint64(s.Configuration),
	}
}

func wireOfServerStatus(s ServerStatus) WireServerStatus {
	return WireServerStatus{
		Server:       string(s.Server),
		Kind:         s.Kind,
		Region:       string(s.Region),
		Zone:         string(s.Zone),
		Alive:        s.Alive,
		Leaving:      s.Leaving,
		Drained:      s.Drained,
		Owner:        string(s.Owner),
		Fence:        uint64(s.Fence),
		ChecksFences: s.ChecksFences,
		MemoryBytes:  int64(s.Memory),
		UsedBytes:    int64(s.Used),
		Running:      s.Running,
		Waiting:      s.Waiting,
	}
}

func wireOfPermitStatus(s PermitStatus) WirePermitStatus {
	return WirePermitStatus{
		Model:   string(s.Model),
		Server:  string(s.Server),
		Loaded:  s.Loaded,
		Loading: s.Loading,
		Revoked: s.Revoked,
	}
}

func wireOfDoubtStatus(s UnknownOutcomeStatus) WireDoubtStatus {
	return WireDoubtStatus{
		Server:            string(s.Server),
		Owner:             string(s.Owner),
		Earlier:           uint64(s.EarlierFence),
		SinceMilliseconds: s.Since.Milliseconds(),
	}
}

func wireOfQueueStatus(s QueueStatus) WireQueueStatus {
	return WireQueueStatus{
		Model:            string(s.Model),
		Waiting:          s.Waiting,
		Running:          s.Running,
		HoldMilliseconds: s.AverageHoldTime.Milliseconds(),
	}
}

func wireOfWakeStatus(s ColdStartStatus) WireWakeStatus {
	return WireWakeStatus{
		Model:             string(s.Model),
		Server:            string(s.Server),
		Callers:           s.Callers,
		SinceMilliseconds: s.Since.Milliseconds(),
	}
}

func wireOfBreakerStatus(s EjectionStatus) WireBreakerStatus {
	return WireBreakerStatus{
		Server:          string(s.Server),
		Failures:        s.Failures,
		ForMilliseconds: s.Remaining.Milliseconds(),
	}
}

func wireOfSuspectStatus(s SuspectStatus) WireSuspectStatus {
	return WireSuspectStatus{
		Content:         s.Content,
		Refused:         s.Refused,
		Crashes:         s.Crashes,
		ForMilliseconds: s.Remaining.Milliseconds(),
	}
}

func wireOfProblem(s Problem) WireProblem {
	return WireProblem{
		Severity: s.Severity.String(),
		Message:  s.Message,
		Page:     s.Page,
	}
}

// Value returns the status that w stands for.
func (w WireStatus) Value() Status {
	return Status{
		Node:            domain.NodeID(w.Node),
		Version:         w.Version,
		At:              parseTime(w.At),
		Ready:           w.Ready,
		NotReady:        w.NotReady,
		Log:             w.Log.value(),
		Nodes:           mapAll(w.Nodes, WireNodeStatus.value),
		Servers:         mapAll(w.Servers, WireServerStatus.value),
		Permits:         mapAll(w.Permits, WirePermitStatus.value),
		UnknownOutcomes: mapAll(w.Doubts, WireDoubtStatus.value),
		Queues:          mapAll(w.Queues, WireQueueStatus.value),
		ColdStarts:      mapAll(w.Wakes, WireWakeStatus.value),
		Ejections:       mapAll(w.Breakers, WireBreakerStatus.value),
		Suspects:        mapAll(w.Suspects, WireSuspectStatus.value),
		Problems:        mapAll(w.Problems, WireProblem.value),
	}
}

func (w WireLogStatus) value() LogStatus {
	return LogStatus{
		Up:            w.Up,
		Decision:      domain.Offset(w.Decision),
		Configuration: domain.Offset(w.Configuration),
		LagRecords:    w.LagRecords,
		SinceResponse: time.Duration(w.SinceAnswerMilliseconds) * time.Millisecond,
	}
}

func (w WireNodeStatus) value() NodeStatus {
	return NodeStatus{
		Node:          domain.NodeID(w.Node),
		Address:       w.Address,
		Region:        domain.Region(w.Region),
		Zone:          domain.Zone(w.Zone),
		Alive:         w.Alive,
		Leaving:       w.Leaving,
		Roles:         w.Roles,
		Leases:        w.Leases,
		Configuration: domain.Offset(w.Configuration),
	}
}

func (w WireServerStatus) value() ServerStatus {
	return ServerStatus{
		Server:       domain.ServerID(w.Server),
		Kind:         w.Kind,
		Region:       domain.Region(w.Region),
		Zone:         domain.Zone(w.Zone),
		Alive:        w.Alive,
		Leaving:      w.Leaving,
		Drained:      w.Drained,
		Owner:        domain.NodeID(w.Owner),
		Fence:        domain.Fence(w.Fence),
		ChecksFences: w.ChecksFences,
		Memory:       domain.Bytes(w.MemoryBytes),
		Used:         domain.Bytes(w.UsedBytes),
		Running:      w.Running,
		Waiting:      w.Waiting,
	}
}

func (w WirePermitStatus) value() PermitStatus {
	return PermitStatus{
		Model:   domain.ModelName(w.Model),
		Server:  domain.ServerID(w.Server),
		Loaded:  w.Loaded,
		Loading: w.Loading,
		Revoked: w.Revoked,
	}
}

func (w WireDoubtStatus) value() UnknownOutcomeStatus {
	return UnknownOutcomeStatus{
		Server:       domain.ServerID(w.Server),
		Owner:        domain.NodeID(w.Owner),
		EarlierFence: domain.Fence(w.Earlier),
		Since:        time.Duration(w.SinceMilliseconds) * time.Millisecond,
	}
}

func (w WireQueueStatus) value() QueueStatus {
	return QueueStatus{
		Model:           domain.ModelName(w.Model),
		Waiting:         w.Waiting,
		Running:         w.Running,
		AverageHoldTime: time.Duration(w.HoldMilliseconds) * time.Millisecond,
	}
}

func (w WireWakeStatus) value() ColdStartStatus {
	return ColdStartStatus{
		Model:   domain.ModelName(w.Model),
		Server:  domain.ServerID(w.Server),
		Callers: w.Callers,
		Since:   time.Duration(w.SinceMilliseconds) * time.Millisecond,
	}
}

func (w WireBreakerStatus) value() EjectionStatus {
	return EjectionStatus{
		Server:    domain.ServerID(w.Server),
		Failures:  w.Failures,
		Remaining: time.Duration(w.ForMilliseconds) * time.Millisecond,
	}
}

func (w WireSuspectStatus) value() SuspectStatus {
	return SuspectStatus{
		Content:   w.Content,
		Refused:   w.Refused,
		Crashes:   w.Crashes,
		Remaining: time.Duration(w.ForMilliseconds) * time.Millisecond,
	}
}

func (w WireProblem) value() Problem {
	return Problem{
		Severity: severityOf(w.Severity),
		Message:  w.Message,
		Page:     w.Page,
	}
}
