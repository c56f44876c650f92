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

// load sends requests at a fixed rate until it is stopped and keeps what callers were told.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ended  chan struct{}

	mu     sync.Mutex
	counts map[string]int
	told   map[string]string
	wrong  []string
}

// load start rate=N cancelled=F keyed=F work-ms=N to=A,B|alive / load stop / load expect OUTCOME MIN / load forbid
// OUTCOME
func cmdLoad(ts *testscript.TestScript, s *session, args []string) {
	o, rest := options(args)
	switch rest[0] {
	case "start":
		s.load = startLoad(ts, s, o)
	case "stop":
		s.load.stop()
		fmt.Fprintln(ts.Stderr(), s.load.counts)
	case "expect":
		if n := s.load.counts[rest[1]]; n < number(ts, rest[2], 0) {
			ts.Fatalf("%d %s of %v", n, rest[1], s.load.counts)
		}
	case "forbid":
		if n := s.load.counts[rest[1]]; n > 0 {
			ts.Fatalf("%d %s of %v", n, rest[1], s.load.counts)
		}
	default:
		ts.Fatalf("load start, stop, expect or forbid")
	}
}

func startLoad(ts *testscript.TestScript, s *session, o map[string]string) *load {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &load{cancel: cancel, ended: make(chan struct{}), counts: map[string]int{}, told: map[string]string{}}
	rate := number(ts, o["rate"], 100)
	names := s.fleet.EntryNames()
	if o["to"] == "alive" {
		names = s.alive()
	} else if o["to"] != "" {
		names = strings.Split(o["to"], ",")
	}
	go l.run(ctx, s.fleet, names, rate, percent(ts, o["cancelled"]), percent(ts, o["keyed"]), o["work-ms"])
	return l
}

func percent(ts *testscript.TestScript, text string) float64 {
	return float64(number(ts, text, 0)) / 100
}

func (l *load) run(
	ctx context.Context, f *fleet.Fleet, names []string, rate int, cancelled, keyed float64, workMS string,
) {
	defer close(l.ended)
	rng := rand.New(rand.NewPCG(1, 2))
	client := httpj.NewClient(httpj.Dialer(""), maxInFlight)
	slots := make(chan struct{}, maxInFlight)
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		isCancelled, isKeyed, name := rng.Float64() < cancelled, rng.Float64() < keyed, names[rng.IntN(len(names))]
		slots <- struct{}{}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.send(client, f.CallerAddress(name), i, isCancelled, isKeyed, workMS)
			<-slots
		}()
	}
}

// send makes one request; a non-idempotent one is counted by the executors under its key.
func (l *load) send(client *http.Client, address string, i int, isCancelled, isKeyed bool, workMS string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
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
	l.note(key, isCancelled, isKeyed, body, req, client)
}

func (l *load) note(key string, isCancelled, isKeyed bool, body string, req *http.Request, client *http.Client) {
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
		l.wrong = append(l.wrong, fmt.Sprintf("%s got %q", body, text))
	}
	l.counts[outcome]++
	if isKeyed {
		l.told["load/"+key] = outcome
	}
}

func (l *load) stop() {
	l.cancel()
	<-l.ended
	l.wg.Wait()
}

// check compares what callers were told with what the executors ran.
func (l *load) check(ts *testscript.TestScript, v fleet.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.wrong {
		ts.Logf("wrong answer: %s", w)
	}
	bad := len(l.wrong)
	for key, outcome := range l.told {
		switch {
		case outcome == "refused-no" && v.Ran[key] > 0:
			ts.Logf("%s was refused as not run, but ran", key)
			bad++
		case outcome == "answered" && v.Ran[key] != 1:
			ts.Logf("%s was answered, but ran %d times", key, v.Ran[key])
			bad++
		}
	}
	if bad > 0 {
		ts.Fatalf("%d promises to callers broken", bad)
	}
}
