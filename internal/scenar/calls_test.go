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

// call INSTANCE METHOD PATH key=K tenant=T work-ms=N deadline-ms=N body=B: prints status, what ran and the body.
func cmdCall(ts *testscript.TestScript, s *session, args []string) {
	fmt.Fprintln(ts.Stdout(), s.call(args))
}

// call-later ID ARGS: makes a call whose outcome `answer ID` prints.
func cmdCallLater(_ *testscript.TestScript, s *session, args []string) {
	out := make(chan string, 1)
	s.answers[args[0]] = out
	go func() { out <- s.call(args[1:]) }()
}

func cmdAnswer(ts *testscript.TestScript, s *session, args []string) {
	select {
	case text := <-s.answers[args[0]]:
		fmt.Fprintln(ts.Stdout(), text)
	case <-time.After(waitLimit):
		ts.Fatalf("no answer to %s", args[0])
	}
}

func (s *session) call(args []string) string {
	o, rest := options(args)
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

// call-until-alive WORD METHOD PATH ARGS: repeats a call at an instance that runs until its outcome holds the word.
func cmdCallUntilAlive(ts *testscript.TestScript, s *session, args []string) {
	cmdCallUntil(ts, s, append([]string{args[0], s.alive()[0]}, args[1:]...))
}

// call-until WORD ARGS: repeats a call until its outcome holds the word.
func cmdCallUntil(ts *testscript.TestScript, s *session, args []string) {
	s.await(ts, "an outcome with "+args[0], func() bool { return strings.Contains(s.call(args[1:]), args[0]) })
}

// fill INSTANCE N MS: keeps N slots busy for so long and waits until they are.
func cmdFill(ts *testscript.TestScript, s *session, args []string) {
	n := number(ts, args[1], 0)
	for i := range n {
		cmdCallLater(ts, s, []string{fmt.Sprintf("fill-%d", i), args[0], "GET", "/fill", "work-ms=" + args[2]})
	}
	s.await(ts, "slots in use", func() bool {
		st, ok := s.statuses(args[:1])[args[0]]
		return ok && st.InFlight >= n
	})
}
