package scenar

import (
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/stand/execu"
	"github.com/ibischute/ibischute/internal/stand/fleet"
	"github.com/ibischute/ibischute/internal/stand/plat"
	"github.com/ibischute/ibischute/pkg/ident"
)

func cmdCrash(ts *testscript.TestScript, s *scenario, args []string) {
	s.applyToInstances(ts, args, s.fleet.Kill, true)
}

func cmdTerminate(ts *testscript.TestScript, s *scenario, args []string) {
	s.applyToInstances(ts, args, s.fleet.Stop, true)
}

func cmdFreeze(ts *testscript.TestScript, s *scenario, args []string) {
	s.applyToInstances(ts, args, s.fleet.Freeze, true)
}

func cmdThaw(ts *testscript.TestScript, s *scenario, args []string) {
	s.applyToInstances(ts, args, s.fleet.Resume, false)
}

func cmdStart(ts *testscript.TestScript, s *scenario, args []string) {
	s.applyToInstances(ts, args, s.fleet.StartEntry, false)
}

// applyToInstances calls f for each instance and records whether the instances are unavailable afterwards.
func (s *scenario) applyToInstances(ts *testscript.TestScript, names []string, f func(string) error, unavailable bool) {
	for _, n := range names {
		ts.Check(f(n))
		s.unavailable[n] = unavailable
	}
}

func (s *scenario) alive() []string {
	var out []string
	for _, n := range s.fleet.EntryNames() {
		if !s.unavailable[n] {
			out = append(out, n)
		}
	}
	return out
}

// cmdCut implements `cut A B`, `cut A platform`, `cut A others` and `cut domain D`. It blocks the connections between
// the two sides; `heal` takes the same arguments and restores them.
func cmdCut(ts *testscript.TestScript, s *scenario, args []string)  { setCut(ts, s, args, true) }
func cmdHeal(ts *testscript.TestScript, s *scenario, args []string) { setCut(ts, s, args, false) }

func setCut(ts *testscript.TestScript, s *scenario, args []string, cut bool) {
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
		ts.Fatalf("usage: cut|heal A B, A platform, A others or domain D")
	}
}

// cmdPlatform implements `platform down|up|slow|lose`. With lose, the platform executes calls but drops the answers.
func cmdPlatform(ts *testscript.TestScript, s *scenario, args []string) {
	faults := map[string]plat.Faults{
		"down": {Down: true}, "up": {}, "slow": {SlowMS: 800}, "lose": {LoseAnswers: true},
	}
	f, ok := faults[args[0]]
	if !ok {
		ts.Fatalf("usage: platform down|up|slow|lose")
	}
	ts.Check(s.fleet.SetPlatformFaults(s.ctx, f))
}

// cmdExecutor implements `executor NAME... leaving=yes drop=N truncate=N slow=F fail=F`. It sets the faults of
// executors: drop or truncate the next N answers, slow down by a factor, or fail a share of the requests.
func cmdExecutor(ts *testscript.TestScript, s *scenario, args []string) {
	o, rest := parseOptions(args)
	slow, _ := strconv.ParseFloat(o["slow"], 64)
	fail, _ := strconv.ParseFloat(o["fail"], 64)
	for _, name := range rest {
		ts.Check(s.fleet.SetExecutorFaults(s.ctx, name, execu.Faults{
			Leaving: o["leaving"] == "yes", DropNext: parseInt(ts, o["drop"], 0),
			TruncateNext: parseInt(ts, o["truncate"], 0), SlowFactor: slow, FailShare: fail,
		}))
	}
}

// cmdUnlist implements `unlist NAME`. It marks an executor as leaving in the platform's list.
func cmdUnlist(ts *testscript.TestScript, s *scenario, args []string) {
	ts.Check(s.fleet.Register(s.ctx, plat.RegisterRequest{Now: true, Entry: roster.Entry{
		Kind: roster.KindExecutor, Name: args[0], Domain: "a", Address: s.fleet.ExecutorAddress(args[0]),
		Service: "invoicing", Slots: 8, Leaving: true,
	}}))
}

// cmdWorker implements `worker NAME leaving|failing|well`. It sets the state of a worker in the platform's list; a
// failing worker fails every task.
func cmdWorker(ts *testscript.TestScript, s *scenario, args []string) {
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
