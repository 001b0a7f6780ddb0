package peer

import "github.com/parsleylug/parsleylug/reports"

// reportMessageToWire returns the number and the wire type of a message about reports of
// backend servers.
func reportMessageToWire(m Message) (messageNumber, any) {
	switch m := m.(type) {
	case CompareReports:
		return numberCompareReports, wireCompareReports{Digests: m.Digests[:]}
	case ReportVersions:
		w := wireReportVersions{Buckets: uint16(m.Buckets), Versions: make([]wireVersion, len(m.Versions))}
		for i, v := range m.Versions {
			w.Versions[i] = wireVersion(v)
		}
		return numberReportVersions, w
	case Subscribe:
		return numberSubscribe, wireSubscribe(m)
	case Loads:
		return numberLoads, wireLoadCounts{Servers: loadsToWire(m.Servers)}
	default:
		return numberNone, nil
	}
}

func decodeReportMessage(f wireFrame) (Message, error) {
	switch f.Number {
	case numberCompareReports:
		w, err := decodeBody[wireCompareReports](f)
		var m CompareReports
		copy(m.Digests[:], w.Digests)
		return m, err
	case numberReportVersions:
		w, err := decodeBody[wireReportVersions](f)
		m := ReportVersions{Buckets: reports.BucketSet(w.Buckets), Versions: make([]reports.Version, len(w.Versions))}
		for i, v := range w.Versions {
			m.Versions[i] = reports.Version(v)
		}
		return m, err
	case numberSubscribe:
		w, err := decodeBody[wireSubscribe](f)
		return Subscribe(w), err
	case numberLoads:
		w, err := decodeBody[wireLoadCounts](f)
		return Loads{Servers: loadsFromWire(w.Servers)}, err
	default:
		return nil, errUnknownMessage
	}
}

func serversToWire(servers []ServerReport) []wireServerReport {
	w := make([]wireServerReport, len(servers))
	for i, s := range servers {
		w[i] = wireServerReport{
			Server: s.Server, Fence: s.Fence, Sequence: s.Sequence,
			Alive: s.Alive, Leaving: s.Leaving, FreeMemory: s.FreeMemory,
			Models: make([]wireModelReport, len(s.Models)),
		}
		for j, r := range s.Models {
			w[i].Models[j] = wireModelReport(r)
		}
	}
	return w
}

func serversFromWire(w []wireServerReport) []ServerReport {
	servers := make([]ServerReport, len(w))
	for i, s := range w {
		servers[i] = ServerReport{
			Server: s.Server, Fence: s.Fence, Sequence: s.Sequence,
			Alive: s.Alive, Leaving: s.Leaving, FreeMemory: s.FreeMemory,
			Models: make([]ModelReport, len(s.Models)),
		}
		for j, r := range s.Models {
			servers[i].Models[j] = ModelReport(r)
		}
	}
	return servers
}

func loadsToWire(loads []reports.Loads) []wireServerLoads {
	w := make([]wireServerLoads, len(loads))
	for i, l := range loads {
		w[i] = wireServerLoads{Server: l.Server, Fence: l.Fence, Sequence: l.Sequence, Models: make([]wireCounts, len(l.Models))}
		for j, c := range l.Models {
			w[i].Models[j] = wireCounts(c)
		}
	}
	return w
}

func loadsFromWire(w []wireServerLoads) []reports.Loads {
	loads := make([]reports.Loads, len(w))
	for i, l := range w {
		loads[i] = reports.Loads{Server: l.Server, Fence: l.Fence, Sequence: l.Sequence, Models: make([]reports.Load, len(l.Models))}
		for j, c := range l.Models {
			loads[i].Models[j] = reports.Load(c)
		}
	}
	return loads
}
