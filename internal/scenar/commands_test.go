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

// waitTimeout bounds every wait. It is far longer than any step takes, so that results do not depend on the speed of
// the machine.
const waitTimeout = 60 * time.Second

type scenarioKey struct{}

// scenario is the state of one running script and the system that it tests.
type scenario struct {
	ctx          context.Context
	dir          string
	fleet        *fleet.Fleet
	load         *load
	pendingCalls map[string]chan string
	// unavailable holds the instances that were killed, stopped or frozen.
	unavailable map[string]bool
	// recordedRuns is how many requests each executor had run at the last ran-mark.
	recordedRuns map[string]int
}

func (s *scenario) close(t *testing.T) {
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

type handler func(ts *testscript.TestScript, s *scenario, args []string)

// commands returns the commands that the scenario scripts have besides those of testscript.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, h := range map[string]handler{
		"fleet": cmdFleet, "publish": cmdPublish, "call": cmdCall, "call-later": cmdCallLater,
		"answer": cmdAnswer, "crash": cmdCrash, "terminate": cmdTerminate, "freeze": cmdFreeze, "thaw": cmdThaw,
		"start": cmdStart, "cut": cmdCut, "heal": cmdHeal, "platform": cmdPlatform, "executor": cmdExecutor,
		"unlist":       cmdUnlist,
		"await-owners": cmdAwaitOwners, "await-version": cmdAwaitVersion, "await-members": cmdAwaitMembers,
		"await-job": cmdAwaitJob, "await-lease": cmdAwaitLease, "submit": cmdSubmit, "load": cmdLoad, "verdict": cmdVerdict,
		"owner-of": cmdOwnerOf, "ibischute": cmdIbischute, "await-idle": cmdAwaitIdle, "pause": cmdPause,
		"placer-of": cmdPlacerOf, "await-owners-alive": cmdAwaitOwnersAlive, "await-members-alive": cmdAwaitMembersAlive,
		"await-job-alive": cmdAwaitJobAlive, "call-until-alive": cmdCallUntilAlive,
		"worker": cmdWorker, "await-running": cmdAwaitRunning, "fill": cmdFill,
		"ran-mark":   cmdRanMark,
		"ran-since":  cmdRanSince,
		"key-owner":  cmdKeyOwner,
		"call-until": cmdCallUntil,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			s, _ := ts.Value(scenarioKey{}).(*scenario)
			if s.fleet == nil && name != "fleet" {
				ts.Fatalf("no system is running: the first command of a scenario must be fleet")
			}
			h(ts, s, args)
		}
	}
	return out
}

// parseOptions splits args into key=value options and positional arguments.
func parseOptions(args []string) (map[string]string, []string) {
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

func parseInt(ts *testscript.TestScript, text string, def int) int {
	if text == "" {
		return def
	}
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// cmdFleet implements `fleet domains=a,b entries=3 executors=2 workers=2 service-ms=5 cuttable=yes retain=N
// no-abort=yes seeds=yes tls=yes strangers=A,B args=--flag,value`. It starts the system. The instances named by
// strangers have certificates of an untrusted authority and are not started with the others. cuttable puts relays in
// front of the instances and the platform, which cut and heal need.
func cmdFleet(ts *testscript.TestScript, s *scenario, args []string) {
	o, _ := parseOptions(args)
	c := fleet.Config{
		Ibischute: filepath.Join(binDir, "ibischute"), Ibistand: filepath.Join(binDir, "ibistand"), Dir: s.dir,
		Domains: strings.Split(o["domains"], ","), Entries: parseInt(ts, o["entries"], 3), Services: []string{"invoicing"},
		Executors: parseInt(ts, o["executors"], 2), Workers: parseInt(ts, o["workers"], 0),
		ServiceTime: time.Duration(parseInt(ts, o["service-ms"], 5)) * time.Millisecond,
		WithRelays:  o["cuttable"] == "yes", NoAbort: o["no-abort"] == "yes", RetainRecords: parseInt(ts, o["retain"], 0),
	}
	c.TLS = o["tls"] == "yes"
	if o["strangers"] != "" {
		c.Untrusted = strings.Split(o["strangers"], ",")
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
	ts.Check(os.WriteFile(key, []byte(base64.StdEncoding.EncodeToString(f.RootKey.Seed())), 0o600))
	ts.Setenv("ROOT_PUBLIC", f.PublicKey())
}

// cmdPublish implements `publish FILE via INSTANCE`. It proposes the bundle and signs it off as root.
func cmdPublish(ts *testscript.TestScript, s *scenario, args []string) {
	ts.Check(s.fleet.Publish(s.ctx, args[2], []byte(ts.ReadFile(args[0]))))
}

// cmdIbischute implements `ibischute ARGS`. It runs the command-line tool after replacing $ROOT_PUBLIC in the YAML
// files among its arguments.
func cmdIbischute(ts *testscript.TestScript, _ *scenario, args []string) {
	for _, a := range args {
		if strings.HasSuffix(a, ".yaml") {
			path := ts.MkAbs(a)
			data := strings.ReplaceAll(ts.ReadFile(a), "$ROOT_PUBLIC", ts.Getenv("ROOT_PUBLIC"))
			ts.Check(os.WriteFile(path, []byte(data), 0o600))
		}
	}
	ts.Check(ts.Exec("ibischute", args...))
}

// cmdVerdict implements `verdict`. It fails if the stand-ins recorded a violation, or if the load received wrong
// answers or outcomes that contradict what the executors ran.
func cmdVerdict(ts *testscript.TestScript, s *scenario, _ []string) {
	report, err := s.fleet.Check(s.ctx)
	ts.Check(err)
	for _, text := range report.Violations {
		ts.Logf("violation: %s", text)
	}
	if len(report.Violations) > 0 {
		ts.Fatalf("%d violations", len(report.Violations))
	}
	if s.load != nil {
		s.load.check(ts, report)
	}
}

// cmdRanMark implements `ran-mark EXECUTOR...`. It records how many requests the executors have run.
func cmdRanMark(ts *testscript.TestScript, s *scenario, args []string) {
	s.recordedRuns = s.runCounts(ts, args)
}

// cmdRanSince implements `ran-since EXECUTOR...`. It fails if an executor has run a request since ran-mark.
func cmdRanSince(ts *testscript.TestScript, s *scenario, args []string) {
	for name, n := range s.runCounts(ts, args) {
		if n != s.recordedRuns[name] {
			ts.Fatalf("%s ran %d requests since ran-mark", name, n-s.recordedRuns[name])
		}
	}
}

func (s *scenario) runCounts(ts *testscript.TestScript, names []string) map[string]int {
	report, err := s.fleet.Check(s.ctx)
	ts.Check(err)
	out := map[string]int{}
	for _, r := range report.Executors {
		for _, name := range names {
			if r.Name == name {
				out[name] = r.Ran
			}
		}
	}
	return out
}
