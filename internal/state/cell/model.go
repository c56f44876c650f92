package cell

import (
	"maps"
	"slices"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// maxEvidence bounds how firmly a new lead believes what a former one has learnt.
const maxEvidence = 400

// SaveModel has what was learnt recorded with the next batch.
func (c *Cell) SaveModel() { c.isModelDue = true }

// model returns what was learnt.
func (c *Cell) model() *jobpb.Model {
	m := &jobpb.Model{}
	for _, image := range slices.Sorted(maps.Keys(c.press.base)) {
		p := &jobpb.ImageFit{Serving: image, BaseMs: c.press.base[image]}
		if f, ok := c.press.fits[image]; ok {
			p.Images, p.Weights = f.images, f.weight
			for i := range f.images {
				p.Evidence = append(p.Evidence, f.products[i][i])
			}
		}
		m.Fits = append(m.Fits, p)
	}
	for _, q := range slices.Sorted(maps.Keys(c.pace.ratio)) {
		m.Ratios = append(m.Ratios, &jobpb.QueueRatio{Queue: q, Ratio: c.pace.ratio[q]})
	}
	return m
}

// LoadModel begins with what a former lead has learnt, if there was one.
func (c *Cell) LoadModel(m *jobpb.Model) {
	for _, p := range m.GetFits() {
		c.press.base[p.Serving] = p.BaseMs
		f := &fit{}
		for i, image := range p.Images {
			if i >= len(p.Weights) || i >= len(p.Evidence) || f.index(image) != i {
				break
			}
			evidence := min(maxEvidence, p.Evidence[i])
			f.weight[i] = p.Weights[i]
			f.products[i][i] = evidence
			f.targets[i] = evidence*p.Weights[i] + priorStrength*(p.Weights[i]-priorWeight)
		}
		c.press.fits[p.Serving] = f
	}
	for _, r := range m.GetRatios() {
		c.pace.ratio[r.Queue] = r.Ratio
	}
}
