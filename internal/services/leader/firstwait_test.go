package leader_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// TestWaitsAreReportedBySize guards against starts that the histograms of waits by size and by queue do not count.
func TestWaitsAreReportedBySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.startNodes(1)
		r.submit(rigJob(1, &jobpb.Step{}))
		r.awaitStart(jobID(1))
		r.submit(rigJob(2, &jobpb.Step{Gang: true, Count: 2}))
		r.awaitStart(jobID(2))
		time.Sleep(5 * time.Second)
		w := httptest.NewRecorder()
		r.meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, line := range []string{
			`ibischute_task_wait_seconds_count{kind="short",size="gang"} 2`,
			`ibischute_task_wait_seconds_count{kind="short",size="small"} 1`,
			`ibischute_queue_wait_seconds_count{queue="q"} 3`,
		} {
			assert.Assert(t, strings.Contains(w.Body.String(), line), "%s is missing in:\n%s", line, waitLines(w.Body.String()))
		}
	})
}

// waitLines returns the counts of waits in the metrics.
func waitLines(metrics string) string {
	var out []string
	for _, l := range strings.Split(metrics, "\n") {
		if strings.Contains(l, "task_wait_seconds_count") {
			out = append(out, l)
		}
	}
	return strings.Join(out, "\n")
}
