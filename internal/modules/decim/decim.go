// Package decim decodes the numbers of JSON and TOML documents of other programs. These may state the same number as 3,
// 3.0 or 3e0, and any number that is not documented as whole with a fraction. A Number keeps what the document says, so
// that its user decides how it is rounded.
//
// # Usage
//
//	var in struct { TimeoutMS decim.Number `json:"timeout_ms"` }
//	err := json.Unmarshal(b, &in)
//	timeout := in.TimeoutMS.FloorDuration(time.Millisecond)
package decim

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/ibischute/ibischute/pkg/fault"
)

// Number is a decimal number. One beyond the range of a type is converted to the limit of that range.
type Number struct {
	// whole is the integer part of the magnitude, hasFraction is true if the magnitude is greater.
	whole                   uint64
	isNegative, hasFraction bool
	value                   float64
}

// Parse returns the number that the text of a JSON or TOML document states.
func Parse(text string) (Number, error) {
	magnitude, isNegative := strings.CutPrefix(text, "-")
	if u, err := strconv.ParseUint(magnitude, 0, 64); err == nil {
		n := FromUint(u)
		if isNegative {
			n.isNegative, n.value = u > 0, -n.value
		}
		return n, nil
	}
	f, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
	if math.IsNaN(f) || err != nil && !math.IsInf(f, 0) {
		return Number{}, fault.New(fault.CodeBadRequest, fault.NotRun, "invalid number "+strconv.Quote(text))
	}
	return FromFloat(f), nil
}

// FromUint returns the Number of an integer.
func FromUint(u uint64) Number { return Number{whole: u, value: float64(u)} }

// FromFloat returns the Number of a float, which must not be NaN.
func FromFloat(f float64) Number {
	magnitude := math.Abs(f)
	n := Number{isNegative: f < 0, value: f}
	if magnitude >= math.MaxUint64 {
		n.whole = math.MaxUint64
		return n
	}
	n.whole = uint64(magnitude)
	n.hasFraction = magnitude > math.Trunc(magnitude)
	return n
}

// UnmarshalJSON implements json.Unmarshaler. As for other types, null changes nothing.
func (n *Number) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		return nil
	}
	return n.UnmarshalText(b)
}

// UnmarshalText implements encoding.TextUnmarshaler, which the TOML decoder calls.
func (n *Number) UnmarshalText(b []byte) error {
	parsed, err := Parse(string(b))
	if err == nil {
		*n = parsed
	}
	return err
}

// Float returns the number as a float.
func (n Number) Float() float64 { return n.value }

// IsPositive reports whether the number is greater than 0.
func (n Number) IsPositive() bool { return n.value > 0 }

// Floor returns the greatest integer that is not greater than the number.
func (n Number) Floor() int64 { return n.round(n.isNegative) }

// Ceil returns the least integer that is not less than the number.
func (n Number) Ceil() int64 { return n.round(!n.isNegative) }

// round returns the number without its fraction, which makes the magnitude one greater if isAway is true.
func (n Number) round(isAway bool) int64 {
	magnitude := n.whole
	if n.hasFraction && isAway && magnitude < math.MaxUint64 {
		magnitude++
	}
	switch {
	case magnitude > math.MaxInt64 && n.isNegative:
		return math.MinInt64
	case magnitude > math.MaxInt64:
		return math.MaxInt64
	case n.isNegative:
		return -int64(magnitude)
	}
	return int64(magnitude)
}

// Whole returns the number if it is an integer and not negative.
func (n Number) Whole() (uint64, bool) {
	isInRange := n.whole < math.MaxUint64 || n.value == math.MaxUint64
	return n.whole, !n.isNegative && !n.hasFraction && isInRange
}

// FloorDuration returns the longest duration that is not longer than the number of units.
func (n Number) FloorDuration(unit time.Duration) time.Duration {
	return time.Duration(n.times(unit).Floor())
}

// CeilDuration returns the shortest duration that is not shorter than the number of units.
func (n Number) CeilDuration(unit time.Duration) time.Duration {
	return time.Duration(n.times(unit).Ceil())
}

func (n Number) times(unit time.Duration) Number { return FromFloat(n.value * float64(unit)) }

// Count is an integer that is not negative. It decodes any form in which a document may state one.
type Count uint64

// UnmarshalJSON implements json.Unmarshaler.
func (c *Count) UnmarshalJSON(b []byte) error {
	var n Number
	if err := n.UnmarshalJSON(b); err != nil {
		return err
	}
	u, ok := n.Whole()
	if !ok {
		return fault.New(fault.CodeBadRequest, fault.NotRun, "not a whole number: "+strconv.Quote(string(b)))
	}
	*c = Count(u)
	return nil
}
