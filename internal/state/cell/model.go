package cell

import (
	"maps"
	"slices"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// maxEvidence limits the weight that a new leader gives to the evidence of previous ones. The evidence for a
// weight is its diagonal element of the normal matrix, in squared cores.
const maxEvidence = 400

// SaveModel schedules a record of the learned model for the next batch.
func (c *Cell) SaveModel() { c.isModelRecordDue = true }

// modelRecord returns the learned weights and ratios for storage.
func (c *Cell) modelRecord() *jobpb.Model {
	m := &jobpb.Model{}
	for _, image := range slices.Sorted(maps.Keys(c.interference.baseMS)) {
		p := &jobpb.ImageFit{Serving: image, BaseMs: c.interference.baseMS[image]}
		if reg, ok := c.interference.regressions[image]; ok {
			p.Images, p.Weights = reg.images, reg.weights
			for i := range reg.images {
				p.Evidence = append(p.Evidence, reg.normalMatrix[i][i])
			}
		}
		m.Fits = append(m.Fits, p)
	}
	m.Ratios = c.durations.Save()
	return m
}

// LoadModel restores the model that a previous leader has learned, if there is one.
func (c *Cell) LoadModel(m *jobpb.Model) {
	for _, p := range m.GetFits() {
		c.interference.baseMS[p.Serving] = p.BaseMs
		reg := &regression{}
		for i, image := range p.Images {
			if i >= len(p.Weights) || i >= len(p.Evidence) || reg.indexOrAdd(image) != i {
				break
			}
			evidence := min(maxEvidence, p.Evidence[i])
			reg.weights[i] = p.Weights[i]
			reg.normalMatrix[i][i] = evidence
			// With these sums, a sweep yields the recorded weight.
			reg.normalVector[i] = evidence*p.Weights[i] + priorStrength*(p.Weights[i]-priorWeight)
		}
		c.interference.regressions[p.Serving] = reg
	}
	c.durations.Load(m.GetRatios())
}
