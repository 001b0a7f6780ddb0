package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// DecodeFile decodes a configuration file, a JSON object {"Records":[…]}, and returns either
// its records or its faults. It sets Fault.File to name.
func DecodeFile(name string, r io.Reader) ([]Record, []Fault) {
	d := &decoder{file: name}
	raw, err := io.ReadAll(io.LimitReader(r, MaximumFileSize+1))
	if err != nil {
		d.addFault(0, "", "cannot be read: "+err.Error(), "")
		return nil, d.faults
	}
	if len(raw) > MaximumFileSize {
		d.addFault(0, "", fmt.Sprintf("is larger than %d bytes", MaximumFileSize), "split the file")
		return nil, d.faults
	}
	d.raw = raw
	records := d.decodeFile()
	if len(d.faults) > 0 {
		return nil, d.faults
	}
	return records, nil
}

func (d *decoder) decodeFile() []Record {
	n, err := parseTree(d.raw)
	if err != nil {
		d.addSyntaxFault(err)
		return nil
	}
	r := d.newReader(n, "")
	if r == nil {
		return nil
	}
	items := r.list("Records")
	if r.peek("Records") == nil {
		r.addFault(nil, "Records", "must be given", "write {\"Records\": [...]}")
	}
	r.reportUnknownFields()
	records := make([]Record, 0, len(items))
	pathOf := map[string]string{}
	for i, item := range items {
		path := fmt.Sprintf("Records[%d]", i)
		record := d.decodeRecord(item, path)
		d.checkDuplicate(pathOf, record, item, path)
		records = append(records, record)
	}
	return records
}

// checkDuplicate reports an object that an earlier record of the file already sets. PathOf
// holds the record's path by subject.
func (d *decoder) checkDuplicate(pathOf map[string]string, record Record, n *jsonValue, path string) {
	subject := record.Subject()
	if subject == "" || record.Remove != nil {
		return
	}
	if earlier, ok := pathOf[subject]; ok {
		d.addFault(n.offset, path, "sets "+subject+" again, as "+earlier+" does", "keep one of them")
		return
	}
	pathOf[subject] = path
}

// Subject identifies the object that a record changes, for example "Model coral-summary-7b".
// It is empty for a record without an object.
func (r Record) Subject() string {
	switch {
	case r.Model != nil:
		return "Model " + string(r.Model.Name)
	case r.Adapter != nil:
		return "Adapter " + r.Adapter.FullName()
	case r.Service != nil:
		return "Service " + string(r.Service.Name)
	case r.Team != nil:
		return "Team " + string(r.Team.Name)
	case r.Deployment != nil:
		return "Deployment"
	case r.Drain != nil:
		return r.Drain.subject()
	case r.Quarantine != nil:
		return fmt.Sprintf("Quarantine %x", r.Quarantine.Content)
	case r.Remove != nil:
		return r.Remove.Kind.WireName() + " " + r.Remove.Name
	}
	return ""
}

func (d Drain) subject() string {
	switch {
	case d.Server != "":
		return "Drain server " + string(d.Server)
	case d.Node != "":
		return "Drain node " + string(d.Node)
	}
	return "Drain zone " + string(d.Zone)
}

// EncodeFile writes records as a configuration file with one record per line.
func EncodeFile(w io.Writer, records []Record) error {
	var b bytes.Buffer
	b.WriteString("{\"Records\": [")
	for i, r := range records {
		raw, err := Encode(r)
		if err != nil {
			return errors.Wrapf(err, "record %d", i)
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString("\n  ")
		b.Write(raw)
	}
	b.WriteString("\n]}\n")
	if !json.Valid(b.Bytes()) {
		return errors.New("configuration file is not valid JSON")
	}
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "write configuration file")
}
