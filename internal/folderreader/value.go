package folderreader

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Value is the text of a key. Its methods parse the text as a type; if that fails
// they add a fault and return the zero value.
type Value struct {
	form    *Form
	key     string
	text    string
	missing bool
	// secret keeps the text out of faults, which are logged.
	secret bool
}

// read parses v. If v is missing or invalid it adds a fault with the expected value.
func read[T any](v Value, expected string, parse func(string) (T, bool)) T {
	var zero T
	if v.missing {
		v.form.Fault(v.key, expected, missingValue)
		return zero
	}
	parsed, ok := parse(v.text)
	if !ok {
		got := quote(v.text)
		if v.secret {
			got = "something else"
		}
		v.form.Fault(v.key, expected, got)
		return zero
	}
	return parsed
}

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	moneyPattern = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,6})?$`)
)

// ValidName reports whether s is a valid name in a section header or a value.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Name reads a name as defined by ValidName.
func (v Value) Name() string {
	return read(v, "a name of letters, digits, . _ -", func(s string) (string, bool) {
		return s, ValidName(s)
	})
}

// Choice reads a value that equals one of words.
func (v Value) Choice(words ...string) string {
	return read(v, "one of "+strings.Join(words, ", "), func(s string) (string, bool) {
		return s, slices.Contains(words, s)
	})
}

// Bool reads true or false.
func (v Value) Bool() bool { return v.Choice("true", "false") == "true" }

// Switch reads on or off.
func (v Value) Switch() bool { return v.Choice("on", "off") == "on" }

// Count reads an integer from low to high.
func (v Value) Count(low, high int) int {
	expected := fmt.Sprintf("a whole number from %d to %d", low, high)
	return read(v, expected, func(s string) (int, bool) {
		n, err := strconv.Atoi(s)
		return n, err == nil && n >= low && n <= high
	})
}

// Number reads a decimal number from low to high.
func (v Value) Number(low, high float64) float64 {
	expected := fmt.Sprintf("a number from %v to %v", low, high)
	return read(v, expected, func(s string) (float64, bool) {
		x, err := strconv.ParseFloat(s, 64)
		return x, err == nil && x >= low && x <= high
	})
}

// Duration reads a duration from low to high, such as 250ms or 2h.
func (v Value) Duration(low, high timekeeper.Duration) timekeeper.Duration {
	expected := fmt.Sprintf("a duration from %s to %s", low, high)
	return read(v, expected, func(s string) (timekeeper.Duration, bool) {
		d, err := timekeeper.ParseDuration(s)
		return d, err == nil && d >= low && d <= high
	})
}

// Bytes reads a size from low to high, such as 4096 or 64KiB.
func (v Value) Bytes(low, high identifier.Bytes) identifier.Bytes {
	expected := fmt.Sprintf("a size from %d to %d, such as 64KiB", low, high)
	return read(v, expected, func(s string) (identifier.Bytes, bool) {
		n, ok := parseBytes(s)
		return n, ok && n >= low && n <= high
	})
}

func parseBytes(s string) (identifier.Bytes, bool) {
	shift := 0
	for i, unit := range []string{"KiB", "MiB", "GiB"} {
		if number, ok := strings.CutSuffix(s, unit); ok {
			s, shift = number, 10*(i+1)
		}
	}
	n, err := strconv.ParseUint(s, 10, 32)
	return identifier.Bytes(n) << shift, err == nil
}

// Money reads an amount of the operator's currency, such as 0.12. Negative amounts
// are invalid: they would invert the order of prices and penalties.
func (v Value) Money() identifier.Money {
	const expected = "an amount that is not negative, such as 0.12"
	return read(v, expected, func(s string) (identifier.Money, bool) {
		if !moneyPattern.MatchString(s) {
			return 0, false
		}
		whole, part, _ := strings.Cut(s, ".")
		part += strings.Repeat("0", moneyDigits-len(part))
		n, err := strconv.ParseInt(whole+part, 10, 64)
		return identifier.Money(n), err == nil
	})
}

// moneyDigits is the number of decimal places of identifier.Money.
const moneyDigits = 6

// maxHashes bounds the keys of one account. Two suffice to rotate a key without
// interruption.
const maxHashes = 8

// Hashes reads a list of SHA-256 sums in lower-case hexadecimal. Faults do not quote
// the text, as it may be a plaintext key entered by mistake.
func (v Value) Hashes() []string {
	v.secret = true
	expected := fmt.Sprintf("1 to %d SHA-256 sums in lower-case hexadecimal", maxHashes)
	return read(v, expected, func(s string) ([]string, bool) {
		list := splitList(s)
		for i, h := range list {
			if !hashPattern.MatchString(h) || slices.Contains(list[:i], h) {
				return nil, false
			}
		}
		return list, len(list) <= maxHashes
	})
}

// AddrPort reads an IP address with a port. If reachable is set, the unspecified
// address is invalid, as others cannot connect to it.
func (v Value) AddrPort(reachable bool) netip.AddrPort {
	expected := "an IP number with a port, such as 10.0.0.7:8080"
	if reachable {
		expected += ", that others can connect to"
	}
	return read(v, expected, func(s string) (netip.AddrPort, bool) {
		a, err := netip.ParseAddrPort(s)
		ok := err == nil && a.Port() != 0
		return a, ok && (!reachable || !a.Addr().IsUnspecified())
	})
}

// AddrPorts reads a list of IP addresses with ports, which may be empty.
func (v Value) AddrPorts() []netip.AddrPort {
	return read(v, "IP numbers with ports, separated by commas", func(s string) ([]netip.AddrPort, bool) {
		if strings.TrimSpace(s) == "" {
			return nil, true
		}
		var out []netip.AddrPort
		for _, text := range splitList(s) {
			a, err := netip.ParseAddrPort(text)
			if err != nil || a.Port() == 0 {
				return nil, false
			}
			out = append(out, a)
		}
		return out, true
	})
}

func splitList(s string) []string {
	list := strings.Split(s, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}
