package memex

import "fmt"

// SetTrace sets a function that gets a line about each start, end, acknowledgement of an end and violation. It must not
// call the Fleet.
func (f *Fleet) SetTrace(trace func(format string, args ...any)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = trace
}

// reportViolation records a violation, or a permitted case. The caller holds the mutex.
func (f *Fleet) reportViolation(isPermitted bool, format string, args ...any) {
	v := fmt.Sprintf(format, args...)
	if isPermitted {
		f.permitted = append(f.permitted, v)
		f.trace("permitted: %s", v)
		return
	}
	f.violations = append(f.violations, v)
	f.trace("found: %s", v)
}
