package configuration

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Limits on operators' input, which bound the memory of a decoder.
const (
	// MaximumRecordSize is the size of the largest encoded record, in bytes. A larger
	// record in the log is not imported.
	MaximumRecordSize = 64 << 10
	// MaximumFileSize is the size of the largest configuration file, in bytes.
	MaximumFileSize = 16 << 20
	// maximumValues is the maximum number of JSON values in one input.
	maximumValues = 400_000
	// maximumDepth is the maximum nesting depth of objects and lists.
	maximumDepth = 16
)

// jsonValue is one JSON value and its offset in the input, which locates faults. Kind says
// which of fields, items and scalar is used.
type jsonValue struct {
	kind   valueKind
	offset int64
	fields []member
	items  []*jsonValue
	scalar any
}

// member is one member of a JSON object. A name can occur more than once; objectReader.get
// adds a fault for that.
type member struct {
	name  string
	value *jsonValue
}

// valueKind is the kind of a JSON value.
type valueKind int

const (
	scalarValue valueKind = iota
	objectValue
	listValue
)

// treeParser parses one input into a tree of jsonValues.
type treeParser struct {
	*json.Decoder
	values int
}

// parseTree parses raw, which must hold exactly one JSON value.
func parseTree(raw []byte) (*jsonValue, error) {
	p := &treeParser{Decoder: json.NewDecoder(bytes.NewReader(raw))}
	p.UseNumber()
	n, err := p.parseValue(0)
	if err != nil {
		return nil, err
	}
	_, err = p.Token()
	if !errors.Is(err, io.EOF) {
		return nil, errors.New("there is more after the end of the JSON value")
	}
	return n, nil
}

func (p *treeParser) parseValue(depth int) (*jsonValue, error) {
	if depth > maximumDepth {
		return nil, errors.Errorf("values nest deeper than %d", maximumDepth)
	}
	p.values++
	if p.values > maximumValues {
		return nil, errors.Errorf("there are more than %d values", maximumValues)
	}
	token, err := p.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	n := &jsonValue{offset: p.InputOffset()}
	switch token {
	case json.Delim('{'):
		n.kind = objectValue
		return n, p.parseFields(n, depth)
	case json.Delim('['):
		n.kind = listValue
		return n, p.parseItems(n, depth)
	}
	n.scalar = token
	return n, nil
}

func (p *treeParser) parseFields(n *jsonValue, depth int) error {
	for p.More() {
		token, err := p.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.New("a field name must be a string")
		}
		value, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, member{name: name, value: value})
	}
	return p.closeBracket()
}

func (p *treeParser) parseItems(n *jsonValue, depth int) error {
	for p.More() {
		value, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, value)
	}
	return p.closeBracket()
}

// closeBracket reads the closing bracket of an object or list.
func (p *treeParser) closeBracket() error {
	_, err := p.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
