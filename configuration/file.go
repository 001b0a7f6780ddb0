package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// DecodeFile reads a configuration file, a JSON object {"Records":[…]}, and
// returns its records or every fault in it. Name stands in the faults.
func DecodeFile(name string, r io.Reader) ([]Record, []Fault) {
	c := &collector{file: name}
	raw, err := io.ReadAll(io.LimitReader(r, MaximumFileSize+1))
	if err != nil {
		c.add(0, "", "cannot be read: "+err.Error(), "")
		return nil, c.faults
	}
	if len(raw) > MaximumFileSize {
		c.add(0, "", fmt.Sprintf("is larger than %d bytes", MaximumFileSize), "split the file")
		return nil, c.faults
	}
	c.raw = raw
	records := c.decodeFile()
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return records, nil
}

func (c *collector) decodeFile() []Record {
	n, err := parse(c.raw)
	if err != nil {
		c.syntax(err)
		return nil
	}
	r := c.object(n, "")
	if r == nil {
		return nil
	}
	items := r.list("Records")
	if r.peek("Records") == nil {
		r.fault(nil, "Records", "must be given", "write {\"Records\": [...]}")
	}
	r.finish()
	records := make([]Record, 0, len(items))
	first := map[string]string{}
	for i, item := range items {
		path := fmt.Sprintf("Records[%d]", i)
		record := c.record(item, path)
		c.checkTwice(first, record, item, path)
		records = append(records, record)
	}
	return records
}

// checkTwice reports an object that an earlier record of the file sets already.
func (c *collector) checkTwice(first map[string]string, record Record, n *node, path string) {
	id := record.Subject()
	if id == "" || record.Remove != nil {
		return
	}
	if earlier, ok := first[id]; ok {
		c.add(n.offset, path, "sets "+id+" again, as "+earlier+" does", "keep one of them")
		return
	}
	first[id] = path
}

// Subject names what a record is about, for example "Model coral-summary-7b". It
// is empty for a record that holds nothing.
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

// EncodeFile writes records as a configuration file with one record a line.
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
