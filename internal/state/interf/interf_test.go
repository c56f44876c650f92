package interf_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/interf"
	"github.com/ibischute/ibischute/pkg/tick"
)

func TestModelFindsInterferingImage(t *testing.T) {
	model := interf.New()
	last := interf.Sample{}
	now := tick.Time(time.Hour)
	model.BaseMS["web"] = 10
	for i := range 200 {
		now = now.Add(500 * time.Millisecond)
		heavy, light := float64(i*7%5), float64(i*3%4)
		own := 0.4 + 0.2*math.Sin(float64(i)/5)
		load := own + 0.02*heavy
		model.Observe(now, &last, interf.Tail{
			Image: "web", MS: int64(10 / (1 - load)), TargetMS: 50,
			Cores: map[string]float64{"heavy": heavy, "light": light},
		})
	}
	heavy, light := model.Weight("web", "heavy"), model.Weight("web", "light")
	assert.Assert(t, heavy > 0.015 && heavy < 0.025, "heavy %.4f", heavy)
	assert.Assert(t, light < 0.004, "light %.4f", light)
}

// TestUnknownImagesHavePrior checks images and tasks without any sample.
func TestUnknownImagesHavePrior(t *testing.T) {
	model := interf.New()
	assert.Assert(t, model.Weight("web", "sum") > 0)
	assert.Equal(t, model.Weight("web", "sum"), model.Weight("other", "mean"))
	assert.Equal(t, model.Load("web", 0), 0.0)
	assert.Equal(t, model.Headroom("web", 0, 35), 0.0)
}

// TestHeadroomEndsAtLimit checks that adding the headroom to the present load yields the limit.
func TestHeadroomEndsAtLimit(t *testing.T) {
	model := interf.New()
	model.BaseMS["web"] = 10
	headroom := model.Headroom("web", 20, 40)
	assert.Assert(t, math.Abs(model.Load("web", 20)+headroom-model.Load("web", 40)) < 1e-9)
	assert.Assert(t, model.Headroom("web", 50, 40) < 0)
}
