package leader

import (
	"context"

	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/tick"
)

// adviceLoop queries the policy service, one request at a time.
func (t *term) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.adviceWake:
		}
		t.mu.Lock()
		q, ok := t.cell.NextAdviceRequest(tick.Now())
		t.mu.Unlock()
		if ok {
			t.askAdvisor(ctx, q)
		}
	}
}

func (t *term) askAdvisor(ctx context.Context, q cell.AdviceRequest) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	sent := tick.Now()
	a, err := t.opts.Advisor.Advise(ctx, q.Step, q.Executors)
	if err != nil {
		t.opts.Logger.Warn().Err(err).Str("job", q.Step.Job).Msg("advice-request-failed")
	}
	t.mu.Lock()
	t.cell.HandleAdvice(tick.Now(), sent, q, a, err)
	t.mu.Unlock()
	t.wakePlan()
}
