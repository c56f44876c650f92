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

// Verdict combines the reports of all stand-ins.
type Verdict struct {
	Platform   plat.Report
	Executors  []execu.Report
	Violations []string
	// Ran counts the runs of each non-idempotent request over all executors.
	Ran map[string]int
}

// Check collects the reports of all stand-ins. Runs of one non-idempotent request on several executors are added as
// violations.
func (f *Fleet) Check(ctx context.Context) (Verdict, error) {
	v := Verdict{Ran: map[string]int{}}
	if err := f.get(ctx, f.PlatformURL()+"/stand/v1/report", &v.Platform); err != nil {
		return v, err
	}
	v.Violations = append(v.Violations, v.Platform.Violations...)
	for _, name := range slices.Sorted(maps.Keys(f.executors)) {
		var r execu.Report
		if err := f.get(ctx, "http://"+f.executors[name]+"/stand/v1/report", &r); err != nil {
			return v, err
		}
		v.Executors = append(v.Executors, r)
		v.Violations = append(v.Violations, r.Violations...)
		var ran map[string]int
		if err := f.get(ctx, "http://"+f.executors[name]+"/stand/v1/runs", &ran); err != nil {
			return v, err
		}
		for k, n := range ran {
			v.Ran[k] += n
		}
	}
	for _, k := range slices.Sorted(maps.Keys(v.Ran)) {
		if v.Ran[k] > 1 {
			v.Violations = append(v.Violations, fmt.Sprintf("non-idempotent %s ran %d times", k, v.Ran[k]))
		}
	}
	return v, nil
}

func (f *Fleet) get(ctx context.Context, url string, out any) error {
	return httpj.Call(ctx, f.client, http.MethodGet, url, nil, out)
}

// ExecutorFaults sets the injected faults of an executor.
func (f *Fleet) ExecutorFaults(ctx context.Context, name string, faults execu.Faults) error {
	return httpj.Call(ctx, f.client, http.MethodPost, "http://"+f.executors[name]+"/stand/v1/faults", faults, nil)
}
