// Package hub speaks between the nodes and the owner of a shard of backend
// servers, over WebSocket with CBOR: nodes tell what their requests need, the
// owner tells what the servers hold.
package hub

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/suspects"
)

// maximumMessage bounds one message in bytes.
const maximumMessage = 4 << 20

// Report is what a node tells the owner.
type Report struct {
	Node domain.NodeID
	// Demands that are left out are as before.
	Demands  []placement.Demand
	Suspects []suspects.Report
	// Doubted servers lack what they are said to hold.
	Doubted []domain.ServerID
}

// Update is what the owner tells a node.
type Update struct {
	// Servers that are left out are as before.
	Servers  []Server
	Suspects []suspects.Report
	// Nodes is how many nodes the owner is linked to, itself included.
	Nodes int
	// News is what the owner saw in the platform's store; zero where it says nothing
	// of it.
	News News
}

// News tells up to where changes were seen in the platform's store. What comes
// later there changes nothing for the nodes.
type News struct {
	Configuration, Registrations domain.Offset
	// Read tells that the owner has just read the registrations.
	Read bool
}

// Server is what one server has loaded.
type Server struct {
	ID domain.ServerID
	// Holdings come without the checkpoints at hand: nodes know these from the
	// registration, and they are most of the bytes.
	Holdings fleet.EngineState
}

type wireReport struct {
	Node     string
	Demands  []wireDemand
	Suspects []wireSuspect
	Doubted  []string
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
	News     wireNews
}

type wireNews struct {
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
	Models   []wireHeld
}

type wireHeld struct {
	_        struct{} `cbor:",toarray"`
	Model    string
	Adapters []string
}

func encodeReport(r Report) ([]byte, error) {
	w := wireReport{Node: string(r.Node), Suspects: encodeSuspects(r.Suspects), Doubted: domain.Texts(r.Doubted)}
	for _, d := range r.Demands {
		w.Demands = append(w.Demands, wireDemand{
			Service: string(d.Service), Model: string(d.Model), Adapter: string(d.Adapter),
			Waiting: d.Waiting, Running: d.Running, Arrived: d.Arrived, Late: d.Late,
		})
	}
	data, err := cbor.Marshal(w)
	return data, errors.WithStack(err)
}

func decodeReport(data []byte) (Report, error) {
	var w wireReport
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Report{}, errors.Wrap(err, "decode a node's report")
	}
	r := Report{Node: domain.NodeID(w.Node), Doubted: domain.Names[domain.ServerID](w.Doubted)}
	for _, d := range w.Demands {
		r.Demands = append(r.Demands, placement.Demand{
			ModelKey: placement.ModelKey{Service: domain.ServiceName(d.Service), Model: domain.ModelName(d.Model), Adapter: domain.AdapterName(d.Adapter)},
			Waiting:  d.Waiting, Running: d.Running, Arrived: d.Arrived, Late: d.Late,
		})
	}
	var err error
	r.Suspects, err = decodeSuspects(w.Suspects)
	return r, err
}

func encodeUpdate(u Update) ([]byte, error) {
	news := wireNews{Configuration: uint64(u.News.Configuration), Registrations: uint64(u.News.Registrations), Read: u.News.Read}
	w := wireUpdate{Nodes: u.Nodes, News: news, Suspects: encodeSuspects(u.Suspects)}
	for _, s := range u.Servers {
		h := s.Holdings
		ws := wireServer{ID: string(s.ID), Born: h.StartedAtMs, Sequence: h.Sequence, Busy: h.Busy}
		for _, m := range h.Models {
			ws.Models = append(ws.Models, wireHeld{Model: string(m.Model), Adapters: domain.Texts(m.Adapters)})
		}
		w.Servers = append(w.Servers, ws)
	}
	data, err := cbor.Marshal(w)
	return data, errors.WithStack(err)
}

func decodeUpdate(data []byte) (Update, error) {
	var w wireUpdate
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Update{}, errors.Wrap(err, "decode the owner's update")
	}
	u := Update{Nodes: w.Nodes}
	u.News = News{Configuration: domain.Offset(w.News.Configuration), Registrations: domain.Offset(w.News.Registrations), Read: w.News.Read}
	for _, s := range w.Servers {
		h := fleet.EngineState{StartedAtMs: s.Born, Sequence: s.Sequence, Busy: s.Busy}
		for _, m := range s.Models {
			h.Models = append(h.Models, fleet.LoadedModel{Model: domain.ModelName(m.Model), Adapters: domain.Names[domain.AdapterName](m.Adapters)})
		}
		u.Servers = append(u.Servers, Server{ID: domain.ServerID(s.ID), Holdings: h})
	}
	var err error
	u.Suspects, err = decodeSuspects(w.Suspects)
	return u, err
}

func encodeSuspects(list []suspects.Report) []wireSuspect {
	var w []wireSuspect
	for _, r := range list {
		w = append(w, wireSuspect{Content: r.Content[:], Crashes: r.Crashes, Server: string(r.Server), Alone: r.Alone, Begun: r.Begun})
	}
	return w
}

func decodeSuspects(w []wireSuspect) ([]suspects.Report, error) {
	var list []suspects.Report
	for _, s := range w {
		r := suspects.Report{Crashes: s.Crashes, Server: domain.ServerID(s.Server), Alone: s.Alone, Begun: s.Begun}
		if len(s.Content) != len(r.Content) {
			return nil, errors.Errorf("a content of %d bytes", len(s.Content))
		}
		copy(r.Content[:], s.Content)
		list = append(list, r)
	}
	return list, nil
}
