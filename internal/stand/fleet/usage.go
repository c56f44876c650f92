package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/ibischute/ibischute/pkg/fault"
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	CPU time.Duration
	// MemoryMB is the resident memory in MiB.
	MemoryMB float64
	// Control is the bytes of control traffic by kind of remote end: platform, peers or executors.
	Control map[string]float64
}

const (
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	pageSize  = 4096
	// userTimeField is the index of the user time among the fields after the command name in /proc/PID/stat. The system
	// time follows it.
	userTimeField = 11
	bytesPerMB    = 1 << 20
)

// Usage returns the resource usage of an entry instance since its start.
func (f *Fleet) Usage(ctx context.Context, name string) (Usage, error) {
	p, err := f.process(name)
	if err != nil {
		return Usage{}, err
	}
	u := Usage{Control: map[string]float64{}}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return u, fault.Wrap(err, fault.CodeNotFound, fault.NotRun, "read the processor time of "+name)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[userTimeField+1], 10, 64)
	u.CPU = time.Duration(user+system) * clockTick
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return u, fault.Wrap(err, fault.CodeNotFound, fault.NotRun, "read the memory usage of "+name)
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(statm))[1], 64)
	u.MemoryMB = pages * pageSize / bytesPerMB
	return u, f.controlBytes(ctx, name, u.Control)
}

var controlBytesPattern = regexp.MustCompile(`(?m)^ibischute_control_bytes\{to="(\w+)"\} (\S+)$`)

func (f *Fleet) controlBytes(ctx context.Context, name string, out map[string]float64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.OperatorAddress(name)+"/metrics", nil)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "build request")
	}
	res, err := f.client.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.CodeUnavailable, fault.Unknown, "read the metrics of "+name)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return fault.Wrap(err, fault.CodeTruncated, fault.Unknown, "read the metrics of "+name)
	}
	for _, m := range controlBytesPattern.FindAllStringSubmatch(string(text), -1) {
		out[m[1]], _ = strconv.ParseFloat(m[2], 64)
	}
	return nil
}
