package scenar

import (
	"fmt"
	"net/http"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/web/opersv"
)

// submit INSTANCE ID tasks=N run-ms=N cpu=N command=C urgent=yes: submits a batch job and prints its phase.
func cmdSubmit(ts *testscript.TestScript, s *session, args []string) {
	o, rest := options(args)
	spec := opersv.JobSpec{
		ID: rest[1], Team: "accounts", Tasks: uint32(number(ts, o["tasks"], 1)), MilliCPU: uint32(number(ts, o["cpu"], 1000)),
		MemoryMB: 1000, RunMS: uint32(number(ts, o["run-ms"], 200)), Command: o["command"], Urgent: o["urgent"] == "yes",
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

// await-job INSTANCE ID PHASE
func cmdAwaitJob(ts *testscript.TestScript, s *session, args []string) {
	s.await(ts, "job "+args[1], func() bool {
		var j opersv.Job
		url := "http://" + s.fleet.OperatorAddress(args[0]) + "/v1/jobs/" + args[1]
		err := httpj.Call(s.ctx, http.DefaultClient, http.MethodGet, url, nil, &j)
		return err == nil && j.Phase == args[2]
	})
}

// await-running INSTANCE ID N: waits until N tasks of a job run.
func cmdAwaitRunning(ts *testscript.TestScript, s *session, args []string) {
	s.await(ts, "running tasks of "+args[1], func() bool {
		var j opersv.Job
		url := "http://" + s.fleet.OperatorAddress(args[0]) + "/v1/jobs/" + args[1]
		err := httpj.Call(s.ctx, http.DefaultClient, http.MethodGet, url, nil, &j)
		return err == nil && int(j.Running) >= number(ts, args[2], 0)
	})
}

// await-job-alive ID PHASE: the same at an instance that runs.
func cmdAwaitJobAlive(ts *testscript.TestScript, s *session, args []string) {
	cmdAwaitJob(ts, s, append(s.alive()[:1], args...))
}
