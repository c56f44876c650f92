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

func cmdKill(ts *testscript.TestScript, s *session, args []string) {
	s.change(ts, args, s.fleet.Kill, true)
}

func cmdStop(ts *testscript.TestScript, s *session, args []string) {
	s.change(ts, args, s.fleet.Stop, true)
}

func cmdFreeze(ts *testscript.TestScript, s *session, args []string) {
	s.change(ts, args, s.fleet.Freeze, true)
}

func cmdThaw(ts *testscript.TestScript, s *session, args []string) {
	s.change(ts, args, s.fleet.Thaw, false)
}

func cmdStart(ts *testscript.TestScript, s *session, args []string) {
	s.change(ts, args, s.fleet.StartEntry, false)
}

// change does something to each instance, which is away after it or is not.
func (s *session) change(ts *testscript.TestScript, names []string, f func(string) error, away bool) {
	for _, n := range names {
		ts.Check(f(n))
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
