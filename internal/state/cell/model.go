package cell

import "github.com/ibischute/ibischute/internal/modules/jobpb"

// SaveModel schedules a record of the learned model for the next batch.
func (c *Cell) SaveModel() { c.isModelRecordDue = true }

// modelRecord returns the learned weights and ratios for storage.
func (c *Cell) modelRecord() *jobpb.Model {
	return &jobpb.Model{Fits: c.interference.Save(), Ratios: c.durations.Save()}
}

// LoadModel restores the model that a previous leader has learned, if there is one.
func (c *Cell) LoadModel(m *jobpb.Model) {
	c.interference.Restore(m.GetFits())
	c.durations.Load(m.GetRatios())
}
