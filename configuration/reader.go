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

// decoder decodes one record or file and collects its faults.
type decoder struct {
	file   string
	raw    []byte
	faults Faults
}

// MaximumFaults is the maximum number of faults reported for one input. A last fault, which
// is not counted, says that there are more.
const MaximumFaults = 200

// isFull reports whether further faults are discarded.
func (d *decoder) isFull() bool { return len(d.faults) > MaximumFaults }

func (d *decoder) addFault(offset int64, path, message, suggestion string) {
	if d.isFull() {
		return
	}
	if len(d.faults) == MaximumFaults {
		path, message, suggestion = "", "has more faults than are shown", "mend these first"
	}
	offset = min(max(offset, 0), int64(len(d.raw)))
	line := 1 + bytes.Count(d.raw[:offset], []byte{'\n'})
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Field: path, Message: message, Suggestion: suggestion})
}

// objectReader reads the fields of one JSON object by name and adds a fault for each that is
// invalid. Fields that were never requested are unknown.
type objectReader struct {
	decoder *decoder
	path    string
	value   *jsonValue
	// requested are the names of the fields read so far, which are the known ones.
	requested []string
}

// newReader returns a reader of n. If n is not an object, it adds a fault and returns nil.
func (d *decoder) newReader(n *jsonValue, path string) *objectReader {
	if n.kind != objectValue {
		d.addFault(n.offset, path, "must be an object", "")
		return nil
	}
	return &objectReader{decoder: d, path: path, value: n}
}

func (r *objectReader) fieldPath(name string) string {
	if r.path == "" {
		return name
	}
	return r.path + "." + name
}

// get returns the value of a field, or nil if the field is absent or null.
func (r *objectReader) get(name string) *jsonValue {
	r.requested = append(r.requested, name)
	var found *jsonValue
	for _, f := range r.value.fields {
		if f.name != name {
			continue
		}
		if found != nil {
			r.decoder.addFault(f.value.offset, r.fieldPath(name), "is given twice", "keep one")
			return found
		}
		found = f.value
	}
	if found != nil && found.kind == scalarValue && found.scalar == nil {
		return nil
	}
	return found
}

// reportUnknownFields adds a fault for every field that was not requested.
func (r *objectReader) reportUnknownFields() {
	for _, f := range r.value.fields {
		if r.decoder.isFull() {
			return
		}
		if contains(r.requested, f.name) {
			continue
		}
		r.decoder.addFault(f.value.offset, r.fieldPath(printable(f.name)), "is not a known field", r.suggest(f.name))
	}
}

func (r *objectReader) suggest(name string) string {
	if near := closestName(name, r.requested); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	known := append([]string(nil), r.requested...)
	sort.Strings(known)
	return "the fields here are " + strings.Join(known, ", ")
}

func (r *objectReader) addFault(n *jsonValue, name, message, suggestion string) {
	offset := r.value.offset
	if n != nil {
		offset = n.offset
	}
	r.decoder.addFault(offset, r.fieldPath(name), message, suggestion)
}

// text reads a string; an absent field is "".
func (r *objectReader) text(name string) string {
	n := r.get(name)
	if n == nil {
		return ""
	}
	s, ok := n.scalar.(string)
	if !ok {
		r.addFault(n, name, "must be a string", "")
	}
	return s
}

// name reads the name of an object. Names are short and have no special characters, because
// they are part of metrics, logs and URLs.
func (r *objectReader) name(name string, required bool) string {
	s := r.text(name)
	r.checkName(r.peek(name), name, s, required)
	return s
}

// vmID reads the id of a VM, which the platform assigns; an absent field is "".
func (r *objectReader) vmID(name string) string {
	s := r.text(name)
	normalized := strings.Map(func(c rune) rune {
		if strings.ContainsRune("@:[]", c) {
			return '.'
		}
		return c
	}, s)
	if !validName(normalized) {
		r.addFault(r.peek(name), name, "must be the id of a VM, at most 128 letters, digits and any of . _ - @ : [ ]", "")
	}
	return s
}

// peek returns the value of a field without marking the field as requested.
func (r *objectReader) peek(name string) *jsonValue {
	for _, f := range r.value.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

func (r *objectReader) checkName(n *jsonValue, name, s string, required bool) {
	switch {
	case n != nil && n.kind == scalarValue && n.scalar != nil && !isString(n):
		return
	case s == "" && required:
		r.addFault(n, name, "must be given", "")
	case s != "" && !validName(s):
		r.addFault(n, name, "must be at most 128 letters, digits, '.', '_' or '-'", "for example \"coral-summary-7b\"")
	}
}

func isString(n *jsonValue) bool {
	_, ok := n.scalar.(string)
	return ok
}

// names reads a list of names.
func (r *objectReader) names(name string) []string {
	var out []string
	for i, n := range r.list(name) {
		s, ok := n.scalar.(string)
		at := fmt.Sprintf("%s[%d]", name, i)
		if !ok {
			r.addFault(n, at, "must be a string", "")
			continue
		}
		r.checkName(n, at, s, true)
		out = append(out, s)
	}
	return out
}

// list reads a list; an absent field is nil.
func (r *objectReader) list(name string) []*jsonValue {
	n := r.get(name)
	if n == nil {
		return nil
	}
	if n.kind != listValue {
		r.addFault(n, name, "must be a list", "")
		return nil
	}
	return n.items
}

// boolean reads true or false; an absent field is false.
func (r *objectReader) boolean(name string) bool {
	n := r.get(name)
	if n == nil {
		return false
	}
	b, ok := n.scalar.(bool)
	if !ok {
		r.addFault(n, name, "must be true or false", "")
	}
	return b
}

// integer reads a whole number from low to high. An absent field is 0, even if that is out
// of the range.
func (r *objectReader) integer(name string, low, high int64) int64 {
	n := r.get(name)
	if n == nil {
		return 0
	}
	number, ok := n.scalar.(json.Number)
	if !ok {
		r.addFault(n, name, "must be a whole number", "")
		return 0
	}
	v, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil || v < low || v > high {
		r.addFault(n, name, fmt.Sprintf("must be a whole number from %d to %d", low, high), "")
		return 0
	}
	return v
}

// nonNegative reads a finite number that is not negative; an absent field is 0.
func (r *objectReader) nonNegative(name string) float64 {
	n := r.get(name)
	if n == nil {
		return 0
	}
	number, ok := n.scalar.(json.Number)
	if !ok {
		r.addFault(n, name, "must be a number", "")
		return 0
	}
	v, err := number.Float64()
	if err != nil || math.IsInf(v, 0) || v < 0 {
		r.addFault(n, name, "must be a number that is not negative", "")
		return 0
	}
	return math.Abs(v)
}

// hash reads a SHA-256 in hexadecimal, 32 bytes. An absent field is a fault.
func (r *objectReader) hash(name string) [32]byte {
	var out [32]byte
	s := r.text(name)
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(out) {
		r.addFault(r.peek(name), name, "must be a SHA-256 in 64 hexadecimal digits", "")
		return out
	}
	copy(out[:], b)
	return out
}

// timestamp reads a time in RFC 3339; an absent field is the zero time.
func (r *objectReader) timestamp(name string) time.Time {
	s := r.text(name)
	if s == "" {
		return time.Time{}
	}
	at, err := time.Parse(time.RFC3339, s)
	if err != nil || at.UTC().Year() < 1 || at.UTC().Year() > 9999 {
		r.addFault(r.peek(name), name, "must be a time in RFC 3339", "for example \"2027-01-31T00:00:00Z\"")
		return time.Time{}
	}
	return at.UTC()
}

// milliseconds reads a duration in whole milliseconds, at most 24 hours.
func (r *objectReader) milliseconds(name string) time.Duration {
	return time.Duration(r.integer(name, 0, int64(24*time.Hour/time.Millisecond))) * time.Millisecond
}

// bytes reads a size, either a number of bytes or a string such as "16GiB"; an absent field
// is 0.
func (r *objectReader) bytes(name string) domain.Bytes {
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
		r.addFault(n, name, err.Error(), "for example \"16GiB\"")
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

// maximumNameBytes is the length of the longest valid name.
const maximumNameBytes = 128

func validName(s string) bool {
	if len(s) > maximumNameBytes {
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

// printable shortens and escapes s for a message of one line.
func printable(s string) string {
	if len(s) > maximumNameBytes {
		s = s[:maximumNameBytes] + "..."
	}
	q := strconv.Quote(s)
	return q[1 : len(q)-1]
}

// ValidName reports whether s is a valid name of an object: 1 to 128 letters, digits, '.',
// '_' or '-'.
func ValidName(s string) bool { return s != "" && validName(s) }
