package cell

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

func TestModelOutlivesItsLead(t *testing.T) {
	old := New(Params{}, 1, 0)
	f := &fit{}
	f.add(0.2, map[string]float64{"heavy": 10})
	for range 50 {
		f.add(0.2, map[string]float64{"heavy": 10})
		f.add(0, map[string]float64{"light": 10})
	}
	old.press.fits["web"] = f
	old.press.base["web"] = 9
	old.pace.ratio["q"] = 1.7
	b, err := proto.Marshal(old.model())
	assert.NilError(t, err)
	m := &jobpb.Model{}
	assert.NilError(t, proto.Unmarshal(b, m))
	next := New(Params{}, 2, 0)
	next.LoadModel(m)
	for _, image := range []string{"heavy", "light"} {
		k := pair{"web", image}
		assert.Equal(t, next.press.weightOf(k), old.press.weightOf(k))
	}
	next.press.fits["web"].sweep()
	got := next.press.weightOf(pair{"web", "heavy"})
	assert.Assert(t, got > 0.018 && got < 0.021, "after one more fit %.4f", got)
	assert.Equal(t, next.press.base["web"], 9.0)
	assert.Equal(t, next.pace.of("q"), 1.7)
}
