package scenar

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibischute/ibischute/internal/web/problem"
)

// cmdCall implements `call INSTANCE METHOD PATH key=K tenant=T class=C work-ms=N deadline-ms=N body=B`. It sends the
// request and prints the HTTP status with the body, or for a problem document its code, whether the request ran, and
// whether a retry delay was given.
func cmdCall(ts *testscript.TestScript, s *scenario, args []string) {
	fmt.Fprintln(ts.Stdout(), s.call(args))
}

// cmdCallLater implements `call-later ID ARGS`. It sends a request in the background;
// `answer ID` prints the outcome.
func cmdCallLater(_ *testscript.TestScript, s *scenario, args []string) {
	out := make(chan string, 1)
	s.pendingCalls[args[0]] = out
	go func() { out <- s.call(args[1:]) }()
}

// cmdAnswer implements `answer ID`. It waits for the call that `call-later ID` started and prints the
// outcome.
func cmdAnswer(ts *testscript.TestScript, s *scenario, args []string) {
	select {
	case text := <-s.pendingCalls[args[0]]:
		fmt.Fprintln(ts.Stdout(), text)
	case <-time.After(waitTimeout):
		ts.Fatalf("call %s did not finish before the timeout", args[0])
	}
}

func (s *scenario) call(args []string) string {
	o, rest := parseOptions(args)
	req, err := http.NewRequestWithContext(s.ctx, rest[1],
		"http://"+s.fleet.CallerAddress(rest[0])+"/v1/services/invoicing"+rest[2], strings.NewReader(o["body"]))
	if err != nil {
		return err.Error()
	}
	for header, key := range map[string]string{
		"Idempotency-Key": "key", "Ibischute-Tenant": "tenant", "Ibischute-Class": "class",
		"Ibischute-Deadline-Ms": "deadline-ms", "Stand-Service-Ms": "work-ms",
	} {
		if o[key] != "" {
			req.Header.Set(header, o[key])
		}
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer"
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Sprintf("%d cut", res.StatusCode)
	}
	var p problem.Problem
	if res.Header.Get("Content-Type") == "application/problem+json" && json.Unmarshal(body, &p) == nil {
		return fmt.Sprintf("%d %s ran: %s retry-after: %t", res.StatusCode, p.Code, p.Ran, p.RetryAfterMS > 0)
	}
	replayed := ""
	if res.Header.Get("Ibischute-Replayed") != "" {
		replayed = " replayed"
	}
	return fmt.Sprintf("%d%s %s", res.StatusCode, replayed, strings.ReplaceAll(string(body), "\n", " "))
}

// cmdCallUntilAlive implements `call-until-alive TEXT METHOD PATH ARGS`: call-until on a running instance.
func cmdCallUntilAlive(ts *testscript.TestScript, s *scenario, args []string) {
	cmdCallUntil(ts, s, append([]string{args[0], s.alive()[0]}, args[1:]...))
}

// cmdCallUntil implements `call-until TEXT ARGS`. It repeats a call until the outcome contains the text.
func cmdCallUntil(ts *testscript.TestScript, s *scenario, args []string) {
	s.await(ts, "an outcome that contains "+args[0], func() bool { return strings.Contains(s.call(args[1:]), args[0]) })
}

// cmdFill implements `fill INSTANCE N MS`. It sends N requests of MS milliseconds each and waits
// until the instance has that many requests in flight.
func cmdFill(ts *testscript.TestScript, s *scenario, args []string) {
	n := parseInt(ts, args[1], 0)
	for i := range n {
		cmdCallLater(ts, s, []string{fmt.Sprintf("fill-%d", i), args[0], "GET", "/fill", "work-ms=" + args[2]})
	}
	s.await(ts, "the requests to be in flight", func() bool {
		st, ok := s.statuses(args[:1])[args[0]]
		return ok && st.InFlight >= n
	})
}
