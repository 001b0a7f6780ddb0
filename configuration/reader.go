package configuration

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// collector gathers the faults of one input.
type collector struct {
	file   string
	raw    []byte
	faults Faults
}

// MaximumFaults is how many faults of one input are reported.
const MaximumFaults = 200

// full tells whether no further fault is reported.
func (c *collector) full() bool { return len(c.faults) > MaximumFaults }

func (c *collector) add(offset int64, path, message, suggestion string) {
	if c.full() {
		return
	}
	if len(c.faults) == MaximumFaults {
		path, message, suggestion = "", "has more faults than are shown", "mend these first"
	}
	offset = min(max(offset, 0), int64(len(c.raw)))
	line := 1 + bytes.Count(c.raw[:offset], []byte{'\n'})
	c.faults = append(c.faults, Fault{File: c.file, Line: line, Field: path, Message: message, Suggestion: suggestion})
}

// reader reads the fields of one JSON object and reports what is wrong with
// them. A field that is never asked for is unknown.
type reader struct {
	c    *collector
	path string
	node *node
	// known are the names asked for, used for suggestions.
	known []string
}

// object returns a reader of n, or nil with a fault where n is no object.
func (c *collector) object(n *node, path string) *reader {
	if n.kind != objectNode {
		c.add(n.offset, path, "must be an object", "")
		return nil
	}
	return &reader{c: c, path: path, node: n}
}

func (r *reader) join(name string) string {
	if r.path == "" {
		return name
	}
	return r.path + "." + name
}

// get returns the value of a field, or nil where it is absent or null.
func (r *reader) get(name string) *node {
	r.known = append(r.known, name)
	var found *node
	for _, f := range r.node.fields {
		if f.name != name {
			continue
		}
		if found != nil {
			r.c.add(f.value.offset, r.join(name), "is given twice", "keep one")
			return found
		}
		found = f.value
	}
	if found != nil && found.kind == scalarNode && found.scalar == nil {
		return nil
	}
	return found
}

// finish reports every field that was not asked for.
func (r *reader) finish() {
	for _, f := range r.node.fields {
		if r.c.full() {
			return
		}
		if contains(r.known, f.name) {
			continue
		}
		r.c.add(f.value.offset, r.join(printable(f.name)), "is not a known field", r.suggest(f.name))
	}
}

func (r *reader) suggest(name string) string {
	if near := closest(name, r.known); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	known := append([]string(nil), r.known...)
	sort.Strings(known)
	return "the fields here are " + strings.Join(known, ", ")
}

func (r *reader) fault(n *node, name, message, suggestion string) {
	offset := r.node.offset
	if n != nil {
		offset = n.offset
	}
	r.c.add(offset, r.join(name), message, suggestion)
}

// text reads a string; absent is "".
func (r *reader) text(name string) string {
	n := r.get(name)
	if n == nil {
		return ""
	}
	s, ok := n.scalar.(string)
	if !ok {
		r.fault(n, name, "must be a string", "")
	}
	return s
}

// name reads a name of an object. Names are short and plain, because they stand
// in metrics, logs and URLs.
func (r *reader) name(name string, required bool) string {
	s := r.text(name)
	r.checkName(r.peek(name), name, s, required)
	return s
}

// identity reads the id of a VM, which the platform chooses; absent is "".
func (r *reader) identity(name string) string {
	s := r.text(name)
	plain := strings.Map(func(c rune) rune {
		if strings.ContainsRune("@:[]", c) {
			return '.'
		}
		return c
	}, s)
	if !validName(plain) {
		r.fault(r.peek(name), name, "must be the id of a VM, at most 128 letters, digits and any of . _ - @ : [ ]", "")
	}
	return s
}

// peek returns a field without marking it as known.
func (r *reader) peek(name string) *node {
	for _, f := range r.node.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

func (r *reader) checkName(n *node, name, s string, required bool) {
	switch {
	case n != nil && n.kind == scalarNode && n.scalar != nil && !isString(n):
		return
	case s == "" && required:
		r.fault(n, name, "must be given", "")
	case s != "" && !validName(s):
		r.fault(n, name, "must be at most 128 letters, digits, '.', '_' or '-'", "for example \"coral-summary-7b\"")
	}
}

func isString(n *node) bool {
	_, ok := n.scalar.(string)
	return ok
}

// names reads a list of names.
func (r *reader) names(name string) []string {
	var out []string
	for i, n := range r.list(name) {
		s, ok := n.scalar.(string)
		at := fmt.Sprintf("%s[%d]", name, i)
		if !ok {
			r.fault(n, at, "must be a string", "")
			continue
		}
		r.checkName(n, at, s, true)
		out = append(out, s)
	}
	return out
}

// list reads a list; absent is nil.
func (r *reader) list(name string) []*node {
	n := r.get(name)
	if n == nil {
		return nil
	}
	if n.kind != listNode {
		r.fault(n, name, "must be a list", "")
		return nil
	}
	return n.items
}

// flag reads true or false; absent is false.
func (r *reader) flag(name string) bool {
	n := r.get(name)
	if n == nil {
		return false
	}
	b, ok := n.scalar.(bool)
	if !ok {
		r.fault(n, name, "must be true or false", "")
	}
	return b
}

// integer reads a whole number from low to high; absent is zero, which is not
// checked.
func (r *reader) integer(name string, low, high int64) int64 {
	n := r.get(name)
	if n == nil {
		return 0
	}
	number, ok := n.scalar.(json.Number)
	if !ok {
		r.fault(n, name, "must be a whole number", "")
		return 0
	}
	v, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil || v < low || v > high {
		r.fault(n, name, fmt.Sprintf("must be a whole number from %d to %d", low, high), "")
		return 0
	}
	return v
}

// amount reads a number that is finite and not negative; absent is zero.
func (r *reader) amount(name string) float64 {
	n := r.get(name)
	if n == nil {
		return 0
	}
	number, ok := n.scalar.(json.Number)
	if !ok {
		r.fault(n, name, "must be a number", "")
		return 0
	}
	v, err := number.Float64()
	if err != nil || math.IsInf(v, 0) || v < 0 {
		r.fault(n, name, "must be a number that is not negative", "")
		return 0
	}
	return math.Abs(v)
}

// hash reads 32 bytes in hexadecimal.
func (r *reader) hash(name string) [32]byte {
	var out [32]byte
	s := r.text(name)
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(out) {
		r.fault(r.peek(name), name, "must be a SHA-256 in 64 hexadecimal digits", "")
		return out
	}
	copy(out[:], b)
	return out
}

// instant reads a time in RFC 3339; absent is the zero time.
func (r *reader) instant(name string) time.Time {
	s := r.text(name)
	if s == "" {
		return time.Time{}
	}
	at, err := time.Parse(time.RFC3339, s)
	if err != nil || at.UTC().Year() < 1 || at.UTC().Year() > 9999 {
		r.fault(r.peek(name), name, "must be a time in RFC 3339", "for example \"2027-01-31T00:00:00Z\"")
		return time.Time{}
	}
	return at.UTC()
}

// milliseconds reads a duration in whole milliseconds.
func (r *reader) milliseconds(name string) time.Duration {
	return time.Duration(r.integer(name, 0, int64(24*time.Hour/time.Millisecond))) * time.Millisecond
}

// bytes reads a size in bytes: a number, or a string such as "16GiB".
func (r *reader) bytes(name string) domain.Bytes {
	n := r.get(name)
	if n == nil {
		return 0
	}
	s := ""
	switch v := n.scalar.(type) {
	case json.Number:
		s = v.String()
	case string:
		s = v
	}
	b, err := ParseBytes(s)
	if err != nil {
		r.fault(n, name, err.Error(), "for example \"16GiB\"")
		return 0
	}
	return b
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

// maximumName is the longest name, in bytes.
const maximumName = 128

func validName(s string) bool {
	if len(s) > maximumName {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

// printable returns s fit for a message: short and on one line.
func printable(s string) string {
	if len(s) > maximumName {
		s = s[:maximumName] + "..."
	}
	q := strconv.Quote(s)
	return q[1 : len(q)-1]
}

// ValidName tells whether s may name an object: 1 to 128 letters, digits, '.',
// '_' or '-'.
func ValidName(s string) bool { return s != "" && validName(s) }
