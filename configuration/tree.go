package configuration

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Limits on what an operator may send, so that a decoder's memory is bounded.
const (
	// MaximumRecordSize is the largest encoded record, in bytes. A larger one is
	// not imported from the log.
	MaximumRecordSize = 64 << 10
	// MaximumFileSize is the largest configuration file, in bytes.
	MaximumFileSize = 16 << 20
	// maximumNodes is how many JSON values one input may hold.
	maximumNodes = 400_000
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

// parser builds the tree of one input.
type parser struct {
	*json.Decoder
	nodes int
}

// parse reads one JSON value that fills raw.
func parse(raw []byte) (*node, error) {
	p := &parser{Decoder: json.NewDecoder(bytes.NewReader(raw))}
	p.UseNumber()
	n, err := p.value(0)
	if err != nil {
		return nil, err
	}
	_, err = p.Token()
	if !errors.Is(err, io.EOF) {
		return nil, errors.New("there is more after the end of the JSON value")
	}
	return n, nil
}

func (p *parser) value(depth int) (*node, error) {
	if depth > maximumDepth {
		return nil, errors.Errorf("values nest deeper than %d", maximumDepth)
	}
	p.nodes++
	if p.nodes > maximumNodes {
		return nil, errors.Errorf("there are more than %d values", maximumNodes)
	}
	token, err := p.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	n := &node{offset: p.InputOffset()}
	switch token {
	case json.Delim('{'):
		n.kind = objectNode
		return n, p.fields(n, depth)
	case json.Delim('['):
		n.kind = listNode
		return n, p.items(n, depth)
	}
	n.scalar = token
	return n, nil
}

func (p *parser) fields(n *node, depth int) error {
	for p.More() {
		token, err := p.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.New("a field name must be a string")
		}
		value, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, field{name: name, value: value})
	}
	return p.end()
}

func (p *parser) items(n *node, depth int) error {
	for p.More() {
		value, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, value)
	}
	return p.end()
}

// end reads the closing bracket.
func (p *parser) end() error {
	_, err := p.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
