package scenar

import (
	"context"
	"encoding/base64"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibischute/ibischute/internal/stand/fleet"
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
