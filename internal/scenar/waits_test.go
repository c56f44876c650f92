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

// await waits until ok returns true. After waitTimeout it logs the status of all instances and fails the scenario.
func (s *scenario) await(ts *testscript.TestScript, condition string, ok func() bool) {
	if err := fleet.Await(s.ctx, waitTimeout, ok); err != nil {
		for _, n := range s.fleet.EntryNames() {
			if st, err := s.fleet.Status(s.ctx, n); err == nil {
				text, _ := json.Marshal(st)
				ts.Logf("%s", text)
			}
		}
		ts.Fatalf("timed out waiting for %s after %v", condition, waitTimeout)
	}
}

// statuses returns the status of each instance that answers within a second.
func (s *scenario) statuses(names []string) map[string]opersv.Status {
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

// cmdAwaitOwners implements `await-owners [INSTANCE...]`. It waits until each executor has an acting owner, which is
// one of the named instances that may assign the executor's slots, and no other instance still uses a slot. Without
// names it considers all instances and also waits until all of them are voting and ready.
func cmdAwaitOwners(ts *testscript.TestScript, s *scenario, args []string) {
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

// cmdAwaitOwnersAlive implements `await-owners-alive`: await-owners for the running instances.
func cmdAwaitOwnersAlive(ts *testscript.TestScript, s *scenario, _ []string) {
	s.awaitOwners(ts, s.alive())
}

func (s *scenario) awaitOwners(ts *testscript.TestScript, names []string) {
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

// cmdAwaitVersion implements `await-version N [INSTANCE...]`. It waits until version N of the configuration is in force
// on the named instances, by default on all.
func cmdAwaitVersion(ts *testscript.TestScript, s *scenario, args []string) {
	names := args[1:]
	if len(names) == 0 {
		names = s.fleet.EntryNames()
	}
	s.await(ts, "version "+args[0], func() bool {
		byInstance := s.statuses(names)
		for _, status := range byInstance {
			if strconv.FormatUint(uint64(status.Version), 10) != args[0] {
				return false
			}
		}
		return len(byInstance) == len(names)
	})
}

// cmdAwaitMembers implements `await-members INSTANCE N`. It waits until the instance's view of its domain has N
// voting members.
func cmdAwaitMembers(ts *testscript.TestScript, s *scenario, args []string) {
	want := parseInt(ts, args[1], 0)
	s.await(ts, "members", func() bool {
		st, ok := s.statuses(args[:1])[args[0]]
		return ok && countVoting(st) == want
	})
}

func countVoting(st opersv.Status) int {
	n := 0
	for _, m := range st.Members {
		if m.Voting {
			n++
		}
	}
	return n
}

// cmdAwaitMembersAlive implements `await-members-alive N`: await-members for all running instances.
func cmdAwaitMembersAlive(ts *testscript.TestScript, s *scenario, args []string) {
	for _, n := range s.alive() {
		cmdAwaitMembers(ts, s, []string{n, args[0]})
	}
}

// cmdAwaitLease implements `await-lease INSTANCE yes|no`. It waits until the instance has a lease or has none.
func cmdAwaitLease(ts *testscript.TestScript, s *scenario, args []string) {
	s.await(ts, "lease", func() bool {
		st, ok := s.statuses(args[:1])[args[0]]
		return ok && (st.LeaseLeftMS > 0) == (args[1] == "yes")
	})
}

// cmdOwnerOf implements `owner-of VAR EXECUTOR`. It sets the variable to the acting owner of the executor.
func cmdOwnerOf(ts *testscript.TestScript, s *scenario, args []string) {
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

// cmdPlacerOf implements `placer-of VAR`. It sets the variable to the instance that places batch work.
func cmdPlacerOf(ts *testscript.TestScript, s *scenario, args []string) {
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

// cmdAwaitIdle implements `await-idle`. It waits until no running instance has a request in flight or a slot in use.
func cmdAwaitIdle(ts *testscript.TestScript, s *scenario, _ []string) {
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

func cmdPause(ts *testscript.TestScript, _ *scenario, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdKeyOwner implements `key-owner VAR TENANT KEY`. It sets the variable to the instance that owns the idempotency key
// while all instances are members.
func cmdKeyOwner(ts *testscript.TestScript, s *scenario, args []string) {
	domains := make([]ident.Domain, 0, len(s.fleet.Domains))
	for _, d := range s.fleet.Domains {
		domains = append(domains, ident.Domain(d))
	}
	home, _ := rendez.New(domains).Owner(args[1])
	var members []ident.Instance
	for _, n := range s.fleet.EntryNames() {
		if strings.HasPrefix(n, string(home)+"-") {
			members = append(members, ident.Instance(n))
		}
	}
	owner, _ := rendez.New(members).Owner(string(ident.IdempotencyKey(ident.Tenant(args[1]), args[2])))
	ts.Setenv(args[0], string(owner))
}
