package fleet

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/stand/execu"
	"github.com/ibischute/ibischute/internal/stand/plat"
)

// Report combines the reports of all stand-ins.
type Report struct {
	Platform   plat.Report
	Executors  []execu.Report
	Violations []string
	// RunsByKey counts the runs of each non-idempotent request over all executors. The key is TENANT/KEY with the
	// request's idempotency key, or id/REQUEST-ID without one.
	RunsByKey map[string]int
}

// Check collects the reports of all stand-ins. Runs of one non-idempotent request on several executors are added as
// violations.
func (f *Fleet) Check(ctx context.Context) (Report, error) {
	report := Report{RunsByKey: map[string]int{}}
	if err := f.get(ctx, f.PlatformURL()+"/stand/v1/report", &report.Platform); err != nil {
		return report, err
	}
	report.Violations = append(report.Violations, report.Platform.Violations...)
	for _, name := range slices.Sorted(maps.Keys(f.executorAddresses)) {
		var r execu.Report
		if err := f.get(ctx, "http://"+f.executorAddresses[name]+"/stand/v1/report", &r); err != nil {
			return report, err
		}
		report.Executors = append(report.Executors, r)
		report.Violations = append(report.Violations, r.Violations...)
		var ran map[string]int
		if err := f.get(ctx, "http://"+f.executorAddresses[name]+"/stand/v1/runs", &ran); err != nil {
			return report, err
		}
		for k, n := range ran {
			report.RunsByKey[k] += n
		}
	}
	for _, k := range slices.Sorted(maps.Keys(report.RunsByKey)) {
		if report.RunsByKey[k] > 1 {
			report.Violations = append(report.Violations, fmt.Sprintf("non-idempotent %s ran %d times", k, report.RunsByKey[k]))
		}
	}
	return report, nil
}

func (f *Fleet) get(ctx context.Context, url string, out any) error {
	return httpj.Call(ctx, f.client, http.MethodGet, url, nil, out)
}

// SetExecutorFaults sets the injected faults of an executor.
func (f *Fleet) SetExecutorFaults(ctx context.Context, name string, faults execu.Faults) error {
	return httpj.Call(ctx, f.client, http.MethodPost, "http://"+f.executorAddresses[name]+"/stand/v1/faults", faults, nil)
}
