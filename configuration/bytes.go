package configuration

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// MaximumBytes is the largest size that the configuration accepts. A float64 represents
// every size up to it exactly.
const MaximumBytes domain.Bytes = 1 << 44

// byteUnit is the suffix of a size and its value in bytes.
type byteUnit struct {
	suffix string
	bytes  float64
}

// byteUnits returns the suffixes. "B" is last, since every other suffix ends in it.
func byteUnits() []byteUnit {
	return []byteUnit{
		{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40},
		{"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12}, {"B", 1},
	}
}

// ParseBytes parses a size such as "16GiB", "0.5 GiB" or "1073741824". The size must be a
// whole number of bytes.
func ParseBytes(s string) (domain.Bytes, error) {
	invalid := errors.Errorf("must be a size in bytes of at most %s", FormatBytes(MaximumBytes))
	text, factor := strings.TrimSpace(s), 1.0
	for _, u := range byteUnits() {
		if number, ok := strings.CutSuffix(text, u.suffix); ok {
			text, factor = strings.TrimSpace(number), u.bytes
			break
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0) {
		return 0, invalid
	}
	v *= factor
	if v > float64(MaximumBytes) || v != math.Trunc(v) {
		return 0, invalid
	}
	return domain.Bytes(v), nil
}

// FormatBytes formats b exactly, in the largest unit of which it is a whole multiple, for
// example "16GiB".
func FormatBytes(b domain.Bytes) string {
	for _, u := range []struct {
		suffix string
		bytes  domain.Bytes
	}{{"TiB", 1 << 40}, {"GiB", domain.Gibibyte}, {"MiB", domain.Mebibyte}, {"KiB", domain.Kibibyte}} {
		if b != 0 && b%u.bytes == 0 {
			return strconv.FormatInt(int64(b/u.bytes), 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}
