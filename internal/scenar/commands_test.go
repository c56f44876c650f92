package scenar

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/rendez"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/stand/execu"
	"github.com/ibischute/ibischute/internal/stand/fleet"
	"github.com/ibischute/ibischute/internal/stand/plat"
	"github.com/ibischute/ibischute/internal/web/opersv"
	"github.com/ibischute/ibischute/internal/web/problem"
	"github.com/ibischute/ibischute/pkg/ident"
)

// waitLimit bounds every wait. It is far above what any step takes, so that no verdict hangs on the machine's speed.
const waitLimit = 60 * time.Second

type sessionKey struct{}

// session is the system of one scenario.
type session struct {
	ctx     context.Context
	dir     string
	fleet   *fleet.Fleet
	load    *load
	answers map[string]chan string
	// away are the instances that were killed, stopped or frozen.
	away map[string]bool
	// ran is how much each executor had run at the last mark.
	ran map[string]int
}

func (s *session) close(t *testing.T) {
	if s.load != nil {
		s.load.stop()
	}
	if s.fleet == nil {
		return
	}
	s.fleet.Close()
	if t.Failed() && os.Getenv("KEEP_LOGS") != "" {
		logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
		for _, l := range logs {
			data, _ := os.ReadFile(l)
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), filepath.Base(l)), data, 0o600)
		}
	}
}

type handler func(ts *testscript.TestScript, s *session, args []string)

// commands is the language of the scenarios.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, h := range map[string]handler{
		"fleet": cmdFleet, "publish": cmdPublish, "call": cmdCall, "call-later": cmdCallLater, "answer": cmdAnswer,
		"crash": cmdKill, "terminate": cmdStop, "freeze": cmdFreeze, "thaw": cmdThaw, "start": cmdStart,
		"cut": cmdCut, "heal": cmdHeal, "platform": cmdPlatform, "executor": cmdExecutor, "unlist": cmdUnlist,
		"await-owners": cmdAwaitOwners, "await-version": cmdAwaitVersion, "await-members": cmdAwaitMembers,
		"await-job": cmdAwaitJob, "await-lease": cmdAwaitLease, "submit": cmdSubmit, "load": cmdLoad, "verdict": cmdVerdict,
		"owner-of": cmdOwnerOf, "ibischute": cmdIbischute, "await-idle": cmdAwaitIdle, "pause": cmdPause,
		"placer-of": cmdPlacerOf, "await-owners-alive": cmdAwaitOwnersAlive, "await-members-alive": cmdAwaitMembersAlive,
		"await-job-alive": cmdAwaitJobAlive, "call-until-alive": cmdCallUntilAlive,
		"worker": cmdWorker, "await-running": cmdAwaitRunning, "fill": cmdFill, "ran-mark": cmdRanMark,
		"ran-since":  cmdRanSince,
		"key-owner":  cmdKeyOwner,
		"call-until": cmdCallUntil,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			s, _ := ts.Value(sessionKey{}).(*session)
			if s.fleet == nil && name != "fleet" {
				ts.Fatalf("the scenario has no fleet yet")
			}
			h(ts, s, args)
		}
	}
	return out
}

// options splits args into key=value pairs and the rest.
func options(args []string) (map[string]string, []string) {
	opts := map[string]string{}
	var rest []string
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok {
			opts[k] = v
			continue
		}
		rest = append(rest, a)
	}
	return opts, rest
}

func number(ts *testscript.TestScript, text string, def int) int {
	if text == "" {
		return def
	}
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// fleet domains=a,b entries=3 executors=2 workers=2 service-ms=5 cuttable=yes retain=N no-abort=yes seeds=yes
// tls=yes strangers=A,B args=--flag,value
func cmdFleet(ts *testscript.TestScript, s *session, args []string) {
	o, _ := options(args)
	c := fleet.Config{
		Ibischute: filepath.Join(binaries, "ibischute"), Ibistand: filepath.Join(binaries, "ibistand"), Dir: s.dir,
		Domains: strings.Split(o["domains"], ","), Entries: number(ts, o["entries"], 3), Services: []string{"invoicing"},
		Executors: number(ts, o["executors"], 2), Workers: number(ts, o["workers"], 0),
		ServiceTime: time.Duration(number(ts, o["service-ms"], 5)) * time.Millisecond,
		Cuttable:    o["cuttable"] == "yes", NoAbort: o["no-abort"] == "yes", Retain: number(ts, o["retain"], 0),
	}
	c.TLS = o["tls"] == "yes"
	if o["strangers"] != "" {
		c.Strangers = strings.Split(o["strangers"], ",")
	}
	if o["seeds"] == "yes" {
		c.SeedAll = true
	}
	if o["args"] != "" {
		c.EntryArgs = strings.Split(o["args"], ",")
	}
	f, err := fleet.Start(s.ctx, c)
	ts.Check(err)
	s.fleet = f
	for _, n := range f.EntryNames() {
		ts.Setenv(strings.ReplaceAll(n, "-", "_"), f.OperatorAddress(n))
	}
	key := filepath.Join(s.dir, "root.key")
	ts.Check(os.WriteFile(key, []byte(base64.StdEncoding.EncodeToString(f.Key.Seed())), 0o600))
	ts.Setenv("ROOT_PUBLIC", f.PublicKey())
}

// publish FILE via INSTANCE: proposes the bundle and signs it off as root.
func cmdPublish(ts *testscript.TestScript, s *session, args []string) {
	ts.Check(s.fleet.Publish(s.ctx, args[2], []byte(ts.ReadFile(args[0]))))
}

// ibischute ARGS: runs the command line; $ROOT_PUBLIC in the files named is replaced.
func cmdIbischute(ts *testscript.TestScript, _ *session, args []string) {
	for _, a := range args {
		if strings.HasSuffix(a, ".yaml") {
			path := ts.MkAbs(a)
			data := strings.ReplaceAll(ts.ReadFile(a), "$ROOT_PUBLIC", ts.Getenv("ROOT_PUBLIC"))
			ts.Check(os.WriteFile(path, []byte(data), 0o600))
		}
	}
	ts.Check(ts.Exec("ibischute", args...))
}

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

func each(ts *testscript.TestScript, args []string, f func(string) error) {
	for _, a := range args {
		ts.Check(f(a))
	}
}

func cmdKill(ts *testscript.TestScript, s *session, args []string) {
	each(ts, args, s.fleet.Kill)
	s.setAway(args, true)
}

func cmdStop(ts *testscript.TestScript, s *session, args []string) {
	each(ts, args, s.fleet.Stop)
	s.setAway(args, true)
}

func cmdFreeze(ts *testscript.TestScript, s *session, args []string) {
	each(ts, args, s.fleet.Freeze)
	s.setAway(args, true)
}

func cmdThaw(ts *testscript.TestScript, s *session, args []string) {
	each(ts, args, s.fleet.Thaw)
	s.setAway(args, false)
}

func cmdStart(ts *testscript.TestScript, s *session, args []string) {
	each(ts, args, s.fleet.StartEntry)
	s.setAway(args, false)
}

func (s *session) setAway(names []string, away bool) {
	for _, n := range names {
		s.away[n] = away
	}
}

func (s *session) alive() []string {
	var out []string
	for _, n := range s.fleet.EntryNames() {
		if !s.away[n] {
			out = append(out, n)
		}
	}
	return out
}

// cut A B / cut A platform / cut A others / cut domain D: separates; heal takes the same words.
func cmdCut(ts *testscript.TestScript, s *session, args []string)  { setCut(ts, s, args, true) }
func cmdHeal(ts *testscript.TestScript, s *session, args []string) { setCut(ts, s, args, false) }

func setCut(ts *testscript.TestScript, s *session, args []string, cut bool) {
	switch {
	case args[0] == "domain":
		for _, a := range s.fleet.EntryNames() {
			for _, b := range s.fleet.EntryNames() {
				if strings.HasPrefix(a, args[1]+"-") && !strings.HasPrefix(b, args[1]+"-") {
					s.fleet.CutPeers(a, b, cut)
				}
			}
		}
	case args[1] == "platform":
		s.fleet.CutPlatform(args[0], cut)
	case args[1] == "others":
		for _, b := range s.fleet.EntryNames() {
			if b != args[0] {
				s.fleet.CutPeers(args[0], b, cut)
			}
		}
	case len(args) == 2:
		s.fleet.CutPeers(args[0], args[1], cut)
	default:
		ts.Fatalf("cut A B, cut A platform, cut A others, or cut domain D")
	}
}

// platform down|up|slow|lose
func cmdPlatform(ts *testscript.TestScript, s *session, args []string) {
	faults := map[string]plat.Faults{
		"down": {Down: true}, "up": {}, "slow": {SlowMS: 800}, "lose": {LoseAnswers: true},
	}
	f, ok := faults[args[0]]
	if !ok {
		ts.Fatalf("platform down, up, slow or lose")
	}
	ts.Check(s.fleet.Faults(s.ctx, f))
}

// executor NAME leaving=yes drop=N truncate=N slow=F fail=F
func cmdExecutor(ts *testscript.TestScript, s *session, args []string) {
	o, rest := options(args)
	slow, _ := strconv.ParseFloat(o["slow"], 64)
	fail, _ := strconv.ParseFloat(o["fail"], 64)
	for _, name := range rest {
		ts.Check(s.fleet.ExecutorFaults(s.ctx, name, execu.Faults{
			Leaving: o["leaving"] == "yes", DropNext: number(ts, o["drop"], 0), TruncateNext: number(ts, o["truncate"], 0),
			SlowFactor: slow, FailShare: fail,
		}))
	}
}

// unlist NAME: marks an executor as leaving in the platform's list.
func cmdUnlist(ts *testscript.TestScript, s *session, args []string) {
	ts.Check(s.fleet.Register(s.ctx, plat.RegisterRequest{Now: true, Entry: roster.Entry{
		Kind: roster.KindExecutor, Name: args[0], Domain: "a", Address: s.fleet.ExecutorAddress(args[0]),
		Service: "invoicing", Slots: 8, Leaving: true,
	}}))
}

func (s *session) await(ts *testscript.TestScript, what string, ok func() bool) {
	if err := fleet.Await(s.ctx, waitLimit, ok); err != nil {
		for _, n := range s.fleet.EntryNames() {
			if st, err := s.fleet.Status(s.ctx, n); err == nil {
				text, _ := json.Marshal(st)
				ts.Logf("%s", text)
			}
		}
		ts.Fatalf("%s: not within %v", what, waitLimit)
	}
}

// statuses returns the states of the instances that answer.
func (s *session) statuses(names []string) map[string]opersv.Status {
	out := map[string]opersv.Status{}
	for _, n := range names {
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		if st, err := s.fleet.Status(ctx, n); err == nil {
			out[n] = st
		}
		cancel()
	}
	return out
}

// await-owners [INSTANCE...]: waits until every executor has an acting owner among the instances. Without names it is
// among all, and it also waits until all are voting and ready.
func cmdAwaitOwners(ts *testscript.TestScript, s *session, args []string) {
	names := args
	if len(names) == 0 {
		names = s.fleet.EntryNames()
	}
	s.awaitOwners(ts, names)
	if len(args) == 0 {
		cmdAwaitMembersAlive(ts, s, []string{strconv.Itoa(s.fleet.Entries)})
		ts.Check(s.fleet.AwaitReady(s.ctx, names...))
	}
}

// await-owners-alive: the same among the instances that run.
func cmdAwaitOwnersAlive(ts *testscript.TestScript, s *session, _ []string) {
	s.awaitOwners(ts, s.alive())
}

func (s *session) awaitOwners(ts *testscript.TestScript, names []string) {
	s.await(ts, "owners of all executors", func() bool {
		acting, all := map[string]int{}, map[string]bool{}
		for _, st := range s.statuses(names) {
			for _, e := range st.Executors {
				all[string(e.Name)] = true
				if e.Acting && e.Foreign == 0 {
					acting[string(e.Name)]++
				}
			}
		}
		return len(all) > 0 && len(acting) == len(all)
	})
}

// await-version N [INSTANCE...]
func cmdAwaitVersion(ts *testscript.TestScript, s *session, args []string) {
	names := args[1:]
	if len(names) == 0 {
		names = s.fleet.EntryNames()
	}
	s.await(ts, "version "+args[0], func() bool {
		st := s.statuses(names)
		for _, one := range st {
			if strconv.FormatUint(uint64(one.Version), 10) != args[0] {
				return false
			}
		}
		return len(st) == len(names)
	})
}

// await-members INSTANCE N: waits until the instance's view has N voting members.
func cmdAwaitMembers(ts *testscript.TestScript, s *session, args []string) {
	want := number(ts, args[1], 0)
	s.await(ts, "members", func() bool {
		st, ok := s.statuses(args[:1])[args[0]]
		return ok && voting(st) == want
	})
}

func voting(st opersv.Status) int {
	n := 0
	for _, m := range st.Members {
		if m.Voting {
			n++
		}
	}
	return n
}

// await-members-alive N: the same for all instances that run.
func cmdAwaitMembersAlive(ts *testscript.TestScript, s *session, args []string) {
	for _, n := range s.alive() {
		cmdAwaitMembers(ts, s, []string{n, args[0]})
	}
}

// await-lease INSTANCE yes|no
func cmdAwaitLease(ts *testscript.TestScript, s *session, args []string) {
	s.await(ts, "lease", func() bool {
		st, ok := s.statuses(args[:1])[args[0]]
		return ok && (st.LeaseMS > 0) == (args[1] == "yes")
	})
}

// owner-of VAR EXECUTOR: sets the variable to the instance that acts for the executor.
func cmdOwnerOf(ts *testscript.TestScript, s *session, args []string) {
	s.await(ts, "owner of "+args[1], func() bool {
		for name, st := range s.statuses(s.alive()) {
			for _, e := range st.Executors {
				if string(e.Name) == args[1] && e.Acting {
					ts.Setenv(args[0], name)
					return true
				}
			}
		}
		return false
	})
}

// placer-of VAR: sets the variable to the instance that places batch work.
func cmdPlacerOf(ts *testscript.TestScript, s *session, args []string) {
	s.await(ts, "placer", func() bool {
		for name, st := range s.statuses(s.alive()) {
			if st.IsPlacer {
				ts.Setenv(args[0], name)
				return true
			}
		}
		return false
	})
}

// await-idle: waits until no instance has a request in flight or a slot in use.
func cmdAwaitIdle(ts *testscript.TestScript, s *session, _ []string) {
	s.await(ts, "idle", func() bool {
		for _, st := range s.statuses(s.alive()) {
			if st.InFlight > 0 {
				return false
			}
			for _, e := range st.Executors {
				if e.Used+e.Draining+e.Foreign > 0 {
					return false
				}
			}
		}
		return true
	})
}

func cmdPause(ts *testscript.TestScript, _ *session, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

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

// worker NAME leaving|failing|well: changes a worker of the platform.
func cmdWorker(ts *testscript.TestScript, s *session, args []string) {
	domain := args[0][:strings.Index(args[0], "-w-")]
	e := roster.Entry{
		Kind: roster.KindWorker, Name: args[0], Domain: ident.Domain(domain), Capacity: fleet.WorkerCapacity(),
		Leaving: args[1] == "leaving",
	}
	if args[1] == "failing" {
		e.Rack = plat.RackFailing
	}
	ts.Check(s.fleet.Register(s.ctx, plat.RegisterRequest{Entry: e, Now: true}))
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

// call-until-alive WORD METHOD PATH ARGS: repeats a call at an instance that runs until its outcome holds the word.
func cmdCallUntilAlive(ts *testscript.TestScript, s *session, args []string) {
	cmdCallUntil(ts, s, append([]string{args[0], s.alive()[0]}, args[1:]...))
}

// verdict: fails if the stand-ins have seen a violation, or if the load got a wrong answer.
func cmdVerdict(ts *testscript.TestScript, s *session, _ []string) {
	v, err := s.fleet.Check(s.ctx)
	ts.Check(err)
	for _, text := range v.Violations {
		ts.Logf("violation: %s", text)
	}
	if len(v.Violations) > 0 {
		ts.Fatalf("%d violations", len(v.Violations))
	}
	if s.load != nil {
		s.load.check(ts, v)
	}
}

// ran-mark EXECUTOR...: remembers how much the executors have run.
func cmdRanMark(ts *testscript.TestScript, s *session, args []string) { s.ran = s.ranBy(ts, args) }

// ran-since EXECUTOR...: fails if the executors have run anything since the mark.
func cmdRanSince(ts *testscript.TestScript, s *session, args []string) {
	for name, n := range s.ranBy(ts, args) {
		if n != s.ran[name] {
			ts.Fatalf("%s ran %d requests since the mark", name, n-s.ran[name])
		}
	}
}

func (s *session) ranBy(ts *testscript.TestScript, names []string) map[string]int {
	v, err := s.fleet.Check(s.ctx)
	ts.Check(err)
	out := map[string]int{}
	for _, r := range v.Executors {
		for _, name := range names {
			if r.Name == name {
				out[name] = r.Ran
			}
		}
	}
	return out
}

// key-owner VAR TENANT KEY: sets the variable to the instance that owns the key while all are members.
func cmdKeyOwner(ts *testscript.TestScript, s *session, args []string) {
	domains := make([]ident.Domain, 0, len(s.fleet.Domains))
	for _, d := range s.fleet.Domains {
		domains = append(domains, ident.Domain(d))
	}
	home, _ := rendez.New(domains).Winner(args[1])
	var members []ident.Instance
	for _, n := range s.fleet.EntryNames() {
		if strings.HasPrefix(n, string(home)+"-") {
			members = append(members, ident.Instance(n))
		}
	}
	owner, _ := rendez.New(members).Winner(string(ident.IdempotencyKey(ident.Tenant(args[1]), args[2])))
	ts.Setenv(args[0], string(owner))
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
