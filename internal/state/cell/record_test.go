package cell

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

func TestModelRecordRestoresModel(t *testing.T) {
	old := New(Params{}, 1, 0)
	reg := &regression{}
	reg.addDifference(0.2, map[string]float64{"heavy": 10})
	for range 50 {
		reg.addDifference(0.2, map[string]float64{"heavy": 10})
		reg.addDifference(0, map[string]float64{"light": 10})
	}
	old.interference.regressions["web"] = reg
	old.interference.baseMS["web"] = 9
	old.durations.ratios["q"] = 1.7
	b, err := proto.Marshal(old.modelRecord())
	assert.NilError(t, err)
	m := &jobpb.Model{}
	assert.NilError(t, proto.Unmarshal(b, m))
	next := New(Params{}, 2, 0)
	next.LoadModel(m)
	for _, image := range []string{"heavy", "light"} {
		k := imagePair{"web", image}
		assert.Equal(t, next.interference.weightOf(k), old.interference.weightOf(k))
	}
	next.interference.regressions["web"].sweep()
	got := next.interference.weightOf(imagePair{"web", "heavy"})
	assert.Assert(t, got > 0.018 && got < 0.021, "weight after one more sweep: %.4f", got)
	assert.Equal(t, next.interference.baseMS["web"], 9.0)
	assert.Equal(t, next.durations.ratioOf("q"), 1.7)
}
