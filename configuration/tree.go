package configuration

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Limits on what an operator may send, so that a decoder's memory is bounded.
const (
	// MaximumRecordSize is the largest encoded record, in bytes.
	MaximumRecordSize = 256 << 10
	// MaximumFileSize is the largest configuration file, in bytes.
	MaximumFileSize = 16 << 20
	// maximumDepth is how deep objects and lists may nest.
	maximumDepth = 16
)

// node is one JSON value with its place in the input. Exactly one of fields,
// items and scalar is in use, as kind says.
type node struct {
	kind   nodeKind
	offset int64
	fields []field
	items  []*node
	scalar any
}

// field is one member of a JSON object, in the order of the input.
type field struct {
	name  string
	value *node
}

// nodeKind tells JSON values apart.
type nodeKind int

const (
	scalarNode nodeKind = iota
	objectNode
	listNode
)

// parse reads one JSON value that fills raw.
func parse(raw []byte) (*node, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	n, err := parseValue(d, 0)
	if err != nil {
		return nil, err
	}
	_, err = d.Token()
	if !errors.Is(err, io.EOF) {
		return nil, errors.New("there is more after the end of the JSON value")
	}
	return n, nil
}

func parseValue(d *json.Decoder, depth int) (*node, error) {
	if depth > maximumDepth {
		return nil, errors.Errorf("values nest deeper than %d", maximumDepth)
	}
	token, err := d.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	n := &node{offset: d.InputOffset()}
	switch token {
	case json.Delim('{'):
		n.kind = objectNode
		return n, parseFields(d, n, depth)
	case json.Delim('['):
		n.kind = listNode
		return n, parseItems(d, n, depth)
	}
	n.scalar = token
	return n, nil
}

func parseFields(d *json.Decoder, n *node, depth int) error {
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.New("a field name must be a string")
		}
		value, err := parseValue(d, depth+1)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, field{name: name, value: value})
	}
	return closeValue(d)
}

func parseItems(d *json.Decoder, n *node, depth int) error {
	for d.More() {
		value, err := parseValue(d, depth+1)
		if err != nil {
			return err
		}
		n.items = append(n.items, value)
	}
	return closeValue(d)
}

// closeValue reads the closing bracket.
func closeValue(d *json.Decoder) error {
	_, err := d.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
