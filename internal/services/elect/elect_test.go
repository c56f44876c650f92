package elect_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/pkg/tick"
)

func startElector(t *testing.T, log *memlog.Log, name string, cores float64, claimDelay time.Duration) *elect.Elector {
	t.Helper()
	e := elect.New(elect.Options{
		Log: log.View(), Instance: name, Address: name, Cores: cores, ClaimDelay: claimDelay,
		IsEligible: func() bool { return true },
		RunTerm: func(ctx context.Context, _ elect.Term) error {
			<-ctx.Done()
			return ctx.Err()
		},
		Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return e
}

// TestSmallerInstanceIsNotAsCapable checks that the capacity of the leader reaches the other instances.
func TestSmallerInstanceIsNotAsCapable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(tick.SetSource(func() tick.Time { return tick.Time(time.Now().UnixNano()) }))
		log := memlog.New(rand.New(rand.NewPCG(1, 2)))
		large := startElector(t, log, "large", 0.8, 0)
		equal := startElector(t, log, "equal", 0.8, 500*time.Millisecond)
		small := startElector(t, log, "small", 0.2, time.Second)
		assert.Assert(t, small.IsAsCapable(), "while no leader is known, every instance may have to lead")
		time.Sleep(3 * time.Second)
		assert.Assert(t, large.IsLeader(tick.Now()))
		assert.Assert(t, large.IsAsCapable())
		assert.Assert(t, equal.IsAsCapable())
		assert.Assert(t, !small.IsAsCapable())
	})
}
