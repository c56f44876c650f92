package scenar

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibischute/ibischute/internal/modules/rendez"
	"github.com/ibischute/ibischute/internal/stand/fleet"
	"github.com/ibischute/ibischute/internal/web/opersv"
	"github.com/ibischute/ibischute/pkg/ident"
)

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
