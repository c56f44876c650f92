package decim

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRounding(t *testing.T) {
	for text, want := range map[string][2]int64{
		"0": {0, 0}, "-0": {0, 0}, "-0.0": {0, 0}, "3": {3, 3}, "3.0": {3, 3}, "4e3": {4000, 4000}, "40e-1": {4, 4},
		"187.5": {187, 188}, "-187.5": {-188, -187}, "0.2": {0, 1}, "-3": {-3, -3}, "6_000": {6000, 6000},
		"9007199254740993":     {9007199254740993, 9007199254740993},
		"9223372036854775807":  {math.MaxInt64, math.MaxInt64},
		"-9223372036854775808": {math.MinInt64, math.MinInt64},
		"1e400":                {math.MaxInt64, math.MaxInt64}, "-1e300": {math.MinInt64, math.MinInt64},
		"18446744073709551615": {math.MaxInt64, math.MaxInt64},
	} {
		n, err := Parse(text)
		assert.NilError(t, err, text)
		assert.Equal(t, n.Floor(), want[0], text)
		assert.Equal(t, n.Ceil(), want[1], text)
	}
	for _, text := range []string{"", "x", "nan", "true", "1.2.3", "--1"} {
		_, err := Parse(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}

func TestWhole(t *testing.T) {
	for text, want := range map[string]uint64{
		"0": 0, "12": 12, "12.0": 12, "1.2e1": 12, "18446744073709551615": math.MaxUint64,
	} {
		n, err := Parse(text)
		assert.NilError(t, err)
		u, ok := n.Whole()
		assert.Assert(t, ok, text)
		assert.Equal(t, u, want)
	}
	for _, text := range []string{"0.5", "-1", "1e300"} {
		n, err := Parse(text)
		assert.NilError(t, err)
		_, ok := n.Whole()
		assert.Assert(t, !ok, text)
	}
}

func TestDurations(t *testing.T) {
	n := FromFloat(187.5)
	assert.Equal(t, n.FloorDuration(time.Millisecond), 187500*time.Microsecond)
	assert.Equal(t, n.CeilDuration(time.Millisecond), 187500*time.Microsecond)
	n = FromFloat(0.25)
	assert.Equal(t, n.FloorDuration(time.Nanosecond), time.Duration(0))
	assert.Equal(t, n.CeilDuration(time.Nanosecond), time.Nanosecond)
	assert.Equal(t, FromFloat(1e300).CeilDuration(time.Second), time.Duration(math.MaxInt64))
}

func TestUnmarshalJSON(t *testing.T) {
	var in struct {
		A, B Number
		C, D Count
	}
	assert.NilError(t, json.Unmarshal([]byte(`{"A":2.5,"B":null,"C":4e2,"D":null}`), &in))
	assert.Equal(t, in.A.Float(), 2.5)
	assert.Equal(t, in.B.Floor(), int64(0))
	assert.Equal(t, in.C, Count(400))
	for _, text := range []string{`{"A":"1"}`, `{"A":true}`, `{"C":1.5}`, `{"C":-1}`, `{"C":"1"}`} {
		assert.Assert(t, json.Unmarshal([]byte(text), &in) != nil, text)
	}
}
