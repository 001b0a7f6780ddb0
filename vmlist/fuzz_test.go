package vmlist

import (
	"testing"
)

func FuzzDecodeVMs(f *testing.F) {
	f.Add([]byte(`{"VMs":[{"ID":"engine-1","Kind":"Engine","Address":"127.0.0.1:9001","Region":"brisbane","Zone":"brisbane-a",
		"MemoryBytes":64,"ChecksFences":true},{"ID":"n1","Kind":"Entry","Address":"127.0.0.1:1","Leaving":true}]}`))
	f.Add([]byte(`{"VMs":[]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		vms, err := decodeVMs(data)
		if err != nil {
			return
		}
		for _, v := range vms {
			if v.ID == "" || v.Address == "" || v.Memory < 0 {
				t.Errorf("got %+v", v)
			}
			encoded, err := encodeVM(v)
			if err != nil {
				t.Fatal(err)
			}
			again, err := decodeVMs([]byte(`{"VMs":[` + string(encoded) + `]}`))
			if err != nil || len(again) != 1 || again[0] != v {
				t.Errorf("got %+v, %v, want %+v", again, err, v)
			}
		}
	})
}

func TestUndecodableListIsAnError(t *testing.T) {
	for _, data := range []string{``, `{}`, `null`, `{"VMs":[{"ID":"x","Kind":"Entry"}]}`, `{"VMs":[{"Kind":"Entry","Address":"a:1"}]}`} {
		if vms, err := decodeVMs([]byte(data)); err == nil {
			t.Errorf("%s: got %+v, want an error", data, vms)
		}
	}
	vms, err := decodeVMs([]byte(`{"VMs":[{"ID":"x","Kind":"Printer","Address":"a:1"}]}`))
	if err != nil || len(vms) != 0 {
		t.Errorf("got %+v, %v, want the unknown kind left out", vms, err)
	}
}
