package chain_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/chain"
)

// TestTrust checks the records that a leader of epoch 20 relies on. A record that is trusted although a leader without
// placement records came after it would let a task run twice.
func TestTrust(t *testing.T) {
	for _, c := range []struct {
		name     string
		previous uint64
		// recordedSince is since when all leaders store a term record before their first start.
		recordedSince uint64
		term          *jobpb.Term
		// trusted has the epochs of job records that are relied on, rejected those that are not.
		trusted, rejected []uint64
	}{
		{"unbroken chain", 10, 0, &jobpb.Term{Epoch: 10, Since: 5}, []uint64{5, 7, 10}, []uint64{0, 4, 11, 20, 21}},
		{"no term record", 10, 0, nil, nil, []uint64{0, 5, 10, 20}},
		{"a leader of the former version last", 12, 0, &jobpb.Term{Epoch: 10, Since: 5}, nil, []uint64{0, 5, 10, 12}},
		{"unknown predecessor", 0, 0, &jobpb.Term{Epoch: 10, Since: 5}, nil, []uint64{0, 5, 10}},
		{"no chain start", 10, 0, &jobpb.Term{Epoch: 10}, nil, []uint64{0, 5, 10}},
		{"start after the end", 10, 0, &jobpb.Term{Epoch: 10, Since: 11}, nil, []uint64{0, 10, 11}},
		{"term of a later leader", 21, 0, &jobpb.Term{Epoch: 21, Since: 5}, nil, []uint64{0, 5, 21}},
		{"empty term", 0, 0, &jobpb.Term{}, nil, []uint64{0, 1}},
		{
			"leaders without a term record that store one before their first start", 12, 7, &jobpb.Term{Epoch: 10, Since: 5},
			[]uint64{5, 10, 12},
			[]uint64{0, 4, 13, 20},
		},
		{
			"such leaders after one of the former version", 12, 11, &jobpb.Term{Epoch: 10, Since: 5},
			nil,
			[]uint64{0, 5, 10, 12},
		},
		{"such leaders, term of a later leader", 12, 7, &jobpb.Term{Epoch: 13, Since: 5}, nil, []uint64{0, 5, 12, 13}},
		{"such leaders, unknown predecessor", 0, 7, &jobpb.Term{Epoch: 10, Since: 5}, nil, []uint64{0, 5, 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := chain.New(20, c.previous, c.recordedSince, c.term)
			for _, epoch := range c.trusted {
				assert.Assert(t, got.Trusts(&jobpb.Progress{PlacementEpoch: epoch}), "epoch %d", epoch)
			}
			for _, epoch := range c.rejected {
				assert.Assert(t, !got.Trusts(&jobpb.Progress{PlacementEpoch: epoch}), "epoch %d", epoch)
			}
		})
	}
}

// TestRecordKeepsStartOfChain checks that the chain grows over successive leaders and starts anew after a break.
func TestRecordKeepsStartOfChain(t *testing.T) {
	first := chain.New(3, 0, 0, nil).Record()
	assert.Equal(t, first.Since, uint64(3))
	second := chain.New(6, 3, 0, first).Record()
	assert.Equal(t, second.Epoch, uint64(6))
	assert.Equal(t, second.Since, uint64(3))
	assert.Equal(t, chain.New(12, 9, 0, second).Record().Since, uint64(12))
}

func TestHashIsNotZero(t *testing.T) {
	assert.Assert(t, chain.Hash("") != 0)
	assert.Assert(t, chain.Hash("x1") != chain.Hash("x2"))
}
