package scenar

import (
	"fmt"
	"net/http"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/web/opersv"
)

// cmdSubmit implements `submit INSTANCE ID tasks=N run-ms=N cpu=N command=C urgent=yes`. It submits a batch job and
// prints its phase or the error.
func cmdSubmit(ts *testscript.TestScript, s *scenario, args []string) {
	o, rest := parseOptions(args)
	spec := opersv.JobSpec{
		ID: rest[1], Team: "accounts", Tasks: uint32(parseInt(ts, o["tasks"], 1)),
		MilliCPU: uint32(parseInt(ts, o["cpu"], 1000)), MemoryMB: 1000, RunMS: uint32(parseInt(ts, o["run-ms"], 200)),
		Command: o["command"], Urgent: o["urgent"] == "yes",
	}
	var j opersv.Job
	url := "http://" + s.fleet.OperatorAddress(rest[0]) + "/v1/jobs"
	err := httpj.Call(s.ctx, http.DefaultClient, http.MethodPost, url, spec, &j)
	if err != nil {
		fmt.Fprintln(ts.Stdout(), err)
		return
	}
	fmt.Fprintln(ts.Stdout(), j.Spec.ID, j.Phase)
}

// cmdAwaitJob implements `await-job INSTANCE ID PHASE`. It waits until the instance reports the job in the phase.
func cmdAwaitJob(ts *testscript.TestScript, s *scenario, args []string) {
	s.await(ts, "job "+args[1], func() bool {
		var j opersv.Job
		url := "http://" + s.fleet.OperatorAddress(args[0]) + "/v1/jobs/" + args[1]
		err := httpj.Call(s.ctx, http.DefaultClient, http.MethodGet, url, nil, &j)
		return err == nil && j.Phase == args[2]
	})
}

// cmdAwaitRunning implements `await-running INSTANCE ID N`. It waits until at least N tasks of the job are running.
func cmdAwaitRunning(ts *testscript.TestScript, s *scenario, args []string) {
	s.await(ts, "running tasks of "+args[1], func() bool {
		var j opersv.Job
		url := "http://" + s.fleet.OperatorAddress(args[0]) + "/v1/jobs/" + args[1]
		err := httpj.Call(s.ctx, http.DefaultClient, http.MethodGet, url, nil, &j)
		return err == nil && int(j.Running) >= parseInt(ts, args[2], 0)
	})
}

// cmdAwaitJobAlive implements `await-job-alive ID PHASE`: await-job on a running instance.
func cmdAwaitJobAlive(ts *testscript.TestScript, s *scenario, args []string) {
	cmdAwaitJob(ts, s, append(s.alive()[:1], args...))
}
