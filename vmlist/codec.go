package vmlist

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

type wireVM struct {
	ID           string
	Kind         string
	Address      string
	AdminAddress string
	Region       string
	Zone         string
	MemoryBytes  int64
	ChecksFences bool
	ServiceName  string
	Leaving      bool
}

type wireVMs struct{ VMs []wireVM }

func encodeVM(v VM) ([]byte, error) {
	data, err := json.Marshal(wireVM{
		ID:           v.ID,
		Kind:         v.Kind.String(),
		Address:      v.Address,
		AdminAddress: v.AdminAddress,
		Region:       string(v.Region),
		Zone:         string(v.Zone),
		MemoryBytes:  int64(v.Memory),
		ChecksFences: v.ChecksFences,
		ServiceName:  string(v.ServiceName),
		Leaving:      v.Leaving,
	})
	return data, errors.WithStack(err)
}

// decodeVMs decodes a list. One invalid entry makes the whole list invalid, because a
// node would take a VM that is left out for one that is gone. A VM of an unknown kind is
// left out, since no node uses it.
func decodeVMs(data []byte) ([]VM, error) {
	var w wireVMs
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, errors.WithStack(err)
	}
	if w.VMs == nil {
		return nil, errors.New("the response has no list of VMs")
	}
	vms := make([]VM, 0, len(w.VMs))
	for _, v := range w.VMs {
		if v.ID == "" || v.Address == "" || v.MemoryBytes < 0 {
			return nil, errors.Errorf("VM %.40q has no id or address, or negative memory", v.ID)
		}
		kind, ok := parseKind(v.Kind)
		if !ok {
			continue
		}
		vms = append(vms, v.vm(kind))
	}
	return vms, nil
}

func (w wireVM) vm(kind VMKind) VM {
	return VM{
		ID:           w.ID,
		Kind:         kind,
		Address:      w.Address,
		AdminAddress: w.AdminAddress,
		Region:       domain.Region(w.Region),
		Zone:         domain.Zone(w.Zone),
		Memory:       domain.Bytes(w.MemoryBytes),
		ChecksFences: w.ChecksFences,
		ServiceName:  domain.ServiceName(w.ServiceName),
		Leaving:      w.Leaving,
	}
}

func parseKind(name string) (VMKind, bool) {
	for k := Entry; k <= Service; k++ {
		if k.String() == name {
			return k, true
		}
	}
	return 0, false
}
