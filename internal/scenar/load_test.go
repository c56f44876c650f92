package scenar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/stand/fleet"
)

const maxInFlight = 400

// load sends requests at a fixed rate until it is stopped and records the outcomes that callers received.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	done   chan struct{}

	mu     sync.Mutex
	counts map[string]int
	// keyedOutcomes is by tenant and idempotency key, as fleet.Report.RunsByKey.
	keyedOutcomes map[string]string
	wrongAnswers  []string
}

// cmdLoad implements `load start rate=N cancelled=PERCENT keyed=PERCENT work-ms=N to=A,B|alive`, `load stop`,
// `load expect OUTCOME MIN` and `load forbid OUTCOME`.
func cmdLoad(ts *testscript.TestScript, s *scenario, args []string) {
	o, rest := parseOptions(args)
	switch rest[0] {
	case "start":
		s.load = startLoad(ts, s, o)
	case "stop":
		s.load.stop()
		fmt.Fprintln(ts.Stderr(), s.load.counts)
	case "expect":
		if n := s.load.counts[rest[1]]; n < parseInt(ts, rest[2], 0) {
			ts.Fatalf("only %d requests with outcome %s; all outcomes: %v", n, rest[1], s.load.counts)
		}
	case "forbid":
		if n := s.load.counts[rest[1]]; n > 0 {
			ts.Fatalf("%d requests with the forbidden outcome %s; all outcomes: %v", n, rest[1], s.load.counts)
		}
	default:
		ts.Fatalf("usage: load start|stop|expect|forbid")
	}
}

func startLoad(ts *testscript.TestScript, s *scenario, o map[string]string) *load {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &load{cancel: cancel, done: make(chan struct{}), counts: map[string]int{}, keyedOutcomes: map[string]string{}}
	rate := parseInt(ts, o["rate"], 100)
	names := s.fleet.EntryNames()
	if o["to"] == "alive" {
		names = s.alive()
	} else if o["to"] != "" {
		names = strings.Split(o["to"], ",")
	}
	go l.run(ctx, s.fleet, names, rate, parsePercent(ts, o["cancelled"]), parsePercent(ts, o["keyed"]), o["work-ms"])
	return l
}

func parsePercent(ts *testscript.TestScript, text string) float64 {
	return float64(parseInt(ts, text, 0)) / 100
}

func (l *load) run(
	ctx context.Context, f *fleet.Fleet, names []string, rate int, cancelled, keyed float64, workMS string,
) {
	defer close(l.done)
	rng := rand.New(rand.NewPCG(1, 2))
	client := httpj.NewClient(httpj.Dialer(""), maxInFlight)
	inFlight := make(chan struct{}, maxInFlight)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		isCancelled, isKeyed, name := rng.Float64() < cancelled, rng.Float64() < keyed, names[rng.IntN(len(names))]
		inFlight <- struct{}{}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.send(client, f.CallerAddress(name), i, isCancelled, isKeyed, workMS)
			<-inFlight
		}()
	}
}

// send makes one request. Keyed requests are non-idempotent; executors count their runs by key.
func (l *load) send(client *http.Client, address string, i int, isCancelled, isKeyed bool, workMS string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if isCancelled {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(1+i%5)*time.Millisecond)
		defer cancel()
	}
	body := fmt.Sprintf("request %d", i)
	method := http.MethodGet
	if isKeyed {
		method = http.MethodPost
	}
	url := "http://" + address + "/v1/services/invoicing/load"
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Ibischute-Tenant", "load")
	req.Header.Set("Stand-Service-Ms", workMS)
	key := fmt.Sprintf("load-%d", i)
	if isKeyed {
		req.Header.Set("Idempotency-Key", key)
	}
	l.doAndRecord(key, isCancelled, isKeyed, body, req, client)
}

// doAndRecord sends the request and records its outcome.
func (l *load) doAndRecord(key string, isCancelled, isKeyed bool, body string, req *http.Request, client *http.Client) {
	outcome, ran := "answered", ""
	res, err := client.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(res.Body)
		res.Body.Close()
		ran = res.Header.Get("Ibischute-Ran")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && isCancelled:
		outcome = "cancelled"
	case err != nil:
		outcome = "failed"
	case ran != "":
		outcome = "refused-" + ran
	case !strings.HasSuffix(string(text), body):
		outcome = "wrong"
		l.wrongAnswers = append(l.wrongAnswers, fmt.Sprintf("%s got %q", body, text))
	}
	l.counts[outcome]++
	if isKeyed {
		l.keyedOutcomes["load/"+key] = outcome
	}
}

func (l *load) stop() {
	l.cancel()
	<-l.done
	l.wg.Wait()
}

// check fails if the outcomes that callers received contradict what the executors ran.
func (l *load) check(ts *testscript.TestScript, report fleet.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.wrongAnswers {
		ts.Logf("wrong answer: %s", w)
	}
	violations := len(l.wrongAnswers)
	for key, outcome := range l.keyedOutcomes {
		switch {
		case outcome == "refused-no" && report.RunsByKey[key] > 0:
			ts.Logf("%s was refused as not run, but ran", key)
			violations++
		case outcome == "answered" && report.RunsByKey[key] != 1:
			ts.Logf("%s was answered, but ran %d times", key, report.RunsByKey[key])
			violations++
		}
	}
	if violations > 0 {
		ts.Fatalf("%d answers to callers were wrong or contradict what the executors ran", violations)
	}
}
