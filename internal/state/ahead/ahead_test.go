package ahead_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/ahead"
	"github.com/ibischute/ibischute/pkg/tick"
)

func at(d time.Duration) tick.Time { return tick.Time(time.Hour).Add(d) }

func cores(n int64) ahead.Resources { return ahead.Resources{MilliCPU: 1000 * n} }

func release(after time.Duration, n int64) ahead.Release {
	return ahead.Release{At: at(after), Room: cores(n)}
}

func always(ahead.Step) bool { return true }

func usable(ahead.Step, string) bool { return true }

func request(job string, need ahead.Resources) ahead.Request {
	return ahead.Request{
		Step: ahead.Step{Job: job}, Pool: "svc", Need: need, Tasks: 1, IsWide: true, Since: at(0),
		Patience: 5 * time.Second,
	}
}

// small is the step of small tasks that may start in front of others.
var small = ahead.Step{Job: "small"}

// claim is a task of one core that ends after the given time.
func claim(endsAfter time.Duration) ahead.Claim {
	return ahead.Claim{Step: small, Need: cores(1), EndsAt: at(endsAfter)}
}

// fleet is a set of executors with their room.
type fleet []ahead.Executor

func (f fleet) at(i int) (ahead.Executor, bool) { return f[i], true }

func (f fleet) describe(id string) func() ahead.Executor {
	return func() ahead.Executor {
		for _, x := range f {
			if x.ID == id {
				return x
			}
		}
		return ahead.Executor{}
	}
}

// fullFleet returns executors of 8 cores, each with a run of 8 cores. The run of executor i ends i+1 seconds from now.
func fullFleet(n int) fleet {
	var f fleet
	for i := range n {
		f = append(f, ahead.Executor{
			ID: fmt.Sprintf("x%d", i), Free: ahead.Resources{Slots: 1},
			Releases: []ahead.Release{release(time.Duration(i+1)*time.Second, 8)},
		})
	}
	return f
}

// overtake lets the request wait and small work pass it, and returns whether a search is due.
func overtake(p *ahead.Planner, r ahead.Request, poolSize int) bool {
	p.Wait(at(0), r, poolSize)
	p.Started(small, r.Pool, r.Priority, cores(1))
	return p.Wait(at(0), r, poolSize)
}

// reserve reserves room for the request in the fleet.
func reserve(t *testing.T, p *ahead.Planner, now tick.Time, r ahead.Request, f fleet) []ahead.Reservation {
	t.Helper()
	p.Begin(now, always, usable)
	assert.Assert(t, overtake(p, r, len(f)))
	return p.Search(now, r, len(f), f.at)
}

func TestReservesWhereRoomIsThereFirst(t *testing.T) {
	f := fullFleet(3)
	f[0].Releases[0].At = at(4 * time.Second)
	made := reserve(t, ahead.New(), at(0), request("large", cores(8)), f)
	assert.Equal(t, len(made), 1)
	assert.Equal(t, made[0].Executor, "x1")
	assert.Equal(t, made[0].RoomAt, at(2*time.Second))
}

// TestRoomIsSumOfReleases guards against a forecast that considers single runs only.
func TestRoomIsSumOfReleases(t *testing.T) {
	f := fleet{{ID: "x", Free: cores(2), Releases: []ahead.Release{
		release(3*time.Second, 2), release(time.Second, 2), release(2*time.Second, 2),
	}}}
	made := reserve(t, ahead.New(), at(0), request("large", cores(6)), f)
	assert.Equal(t, made[0].RoomAt, at(2*time.Second))
}

// TestEqualWorkReservesNothing guards against reservations in a fleet that is full of tasks of one size, which would
// leave room idle for nothing.
func TestEqualWorkReservesNothing(t *testing.T) {
	p := ahead.New()
	r := request("waits", cores(2))
	p.Begin(at(0), always, usable)
	assert.Assert(t, !p.Wait(at(0), r, 4), "nothing has overtaken it")
	p.Started(small, "svc", 0, cores(2))
	assert.Assert(t, !p.Wait(at(0), r, 4), "the task that was started needs as much")
	p.Started(small, "other", 0, cores(1))
	assert.Assert(t, !p.Wait(at(0), r, 4), "the task that was started belongs to another pool")
}

// TestNarrowStepReservesAfterItsPatience guards against reservations for tasks that mostly find room without one, and
// against one of them that does not.
func TestNarrowStepReservesAfterItsPatience(t *testing.T) {
	p := ahead.New()
	r := request("narrow", cores(2))
	r.IsWide = false
	p.Begin(at(0), always, usable)
	assert.Assert(t, !overtake(p, r, 4))
	assert.Assert(t, p.Wait(at(5*time.Second), r, 4))
}

func TestWorkOfHigherPriorityDoesNotOvertake(t *testing.T) {
	p := ahead.New()
	r := request("waits", cores(2))
	r.Priority = 1
	p.Begin(at(0), always, usable)
	p.Wait(at(0), r, 4)
	p.Started(small, "svc", 0, cores(1))
	assert.Assert(t, !p.Wait(at(0), r, 4))
}

// TestBestEffortWorkOvertakesByMemoryOnly guards against reservations on account of best-effort tasks, whose cores do
// not count as room.
func TestBestEffortWorkOvertakesByMemoryOnly(t *testing.T) {
	p := ahead.New()
	r := request("waits", ahead.Resources{MilliCPU: 2000, MemoryMB: 100})
	p.Begin(at(0), always, usable)
	p.Wait(at(0), r, 4)
	filler := ahead.Resources{MemoryMB: 50}
	p.Started(small, "svc", 0, filler)
	assert.Assert(t, !p.Wait(at(0), r, 4))
	r.IsShortOfMemory = true
	p.Wait(at(0), r, 4)
	p.Started(small, "svc", 0, filler)
	assert.Assert(t, p.Wait(at(0), r, 4))
}

// TestBackfill guards against tasks in front of a reservation that delay it, and against a reservation that keeps out
// tasks that do not.
func TestBackfill(t *testing.T) {
	p, f := ahead.New(), fullFleet(1)
	f[0].Free = cores(2)
	r := request("large", cores(9))
	r.Priority = 1
	assert.Equal(t, len(reserve(t, p, at(0), r, f)), 1)
	lower := func(c ahead.Claim) ahead.Claim {
		c.Priority = 1
		return c
	}
	admits := func(c ahead.Claim) bool { return p.Admits(at(0), "x0", c, f.describe("x0")) }
	assert.Assert(t, admits(lower(claim(time.Second))), "it ends in time")
	assert.Assert(t, admits(lower(claim(2*time.Second))), "it leaves the room")
	wide := lower(claim(2 * time.Second))
	wide.Need = cores(2)
	assert.Assert(t, !admits(wide), "it would hold room that is reserved")
	wide.EndsAt = 0
	assert.Assert(t, !admits(wide), "its end is not known")
	wide.Priority = 0
	assert.Assert(t, admits(wide), "it has a higher priority")
	wide.Priority, wide.Step = 1, r.Step
	assert.Assert(t, admits(wide), "the room is reserved for it")
	assert.Assert(t, p.Admits(at(0), "other", lower(claim(0)), nil), "the executor is not reserved")
}

// TestLateEndExpiresReservation guards against room that stays empty because a run takes longer than forecast.
func TestLateEndExpiresReservation(t *testing.T) {
	p, f := ahead.New(), fullFleet(2)
	r := request("large", cores(8))
	reserve(t, p, at(0), r, f)
	assert.Equal(t, len(p.Begin(at(1900*time.Millisecond), always, usable)), 0)
	expired := p.Begin(at(2*time.Second), always, usable)
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].Executor, "x0")
	assert.Assert(t, !p.IsReserved("x0"))
	now := at(2 * time.Second)
	assert.Assert(t, p.Wait(now, r, len(f)), "the step may reserve again")
	made := p.Search(now, r, len(f), f.at)
	assert.Equal(t, made[0].Executor, "x1", "not the same executor at once")
}

// TestMarginIsBounded guards against a wrong forecast that delays tasks for more than 1.5 s beyond it.
func TestMarginIsBounded(t *testing.T) {
	p := ahead.New()
	f := fleet{{ID: "x", Releases: []ahead.Release{release(9*time.Second, 8)}}}
	reserve(t, p, at(0), request("large", cores(8)), f)
	assert.Equal(t, len(p.Begin(at(10400*time.Millisecond), always, usable)), 0)
	assert.Equal(t, len(p.Begin(at(10500*time.Millisecond), always, usable)), 1)
}

func TestNoReservationBeyondHorizon(t *testing.T) {
	f := fleet{{ID: "x", Releases: []ahead.Release{release(time.Minute, 8)}}}
	assert.Equal(t, len(reserve(t, ahead.New(), at(0), request("large", cores(8)), f)), 0)
}

// TestReservationEndsWithItsStepOrExecutor guards against room that stays reserved for a cancelled job, or on an
// executor that has left.
func TestReservationEndsWithItsStepOrExecutor(t *testing.T) {
	for name, begin := range map[string]func(p *ahead.Planner){
		"step":     func(p *ahead.Planner) { p.Begin(at(0), func(ahead.Step) bool { return false }, usable) },
		"executor": func(p *ahead.Planner) { p.Begin(at(0), always, func(ahead.Step, string) bool { return false }) },
		"start":    func(p *ahead.Planner) { p.Started(ahead.Step{Job: "large"}, "svc", 0, cores(8)) },
	} {
		p := ahead.New()
		reserve(t, p, at(0), request("large", cores(8)), fullFleet(1))
		assert.Assert(t, p.IsReserved("x0"))
		begin(p)
		assert.Assert(t, !p.IsReserved("x0"), name)
	}
}

// TestGangReservesAllPlaces guards against a gang whose places are taken one by one.
func TestGangReservesAllPlaces(t *testing.T) {
	p, f := ahead.New(), fullFleet(3)
	gang := request("gang", cores(4))
	gang.Tasks = 4
	made := reserve(t, p, at(0), gang, f)
	assert.Equal(t, len(made), 2)
	for _, m := range made {
		assert.Assert(t, m.Executor != "x2")
		assert.Equal(t, m.RoomAt, at(2*time.Second), "the gang starts together")
	}
	gang.Step.Job, gang.Tasks = "wide", 5
	assert.Equal(t, len(reserve(t, ahead.New(), at(0), gang, f[:2])), 0, "all places or none")
}

// TestGangLosesAllPlaces guards against the rest of a gang's reservations outlasting one of them.
func TestGangLosesAllPlaces(t *testing.T) {
	p := ahead.New()
	gang := request("gang", cores(8))
	gang.Tasks = 2
	reserve(t, p, at(0), gang, fullFleet(2))
	p.Begin(at(0), always, func(_ ahead.Step, id string) bool { return id != "x1" })
	assert.Assert(t, !p.IsReserved("x0"))
}

// TestAntiAffinityIsRoom guards against a reservation on an executor that runs as many tasks of the step as it may.
func TestAntiAffinityIsRoom(t *testing.T) {
	f := fullFleet(3)
	f[0].Free.Slots, f[1].Free.Slots = 0, 0
	f[0].Releases = append(f[0].Releases, ahead.Release{At: at(9 * time.Second), Room: ahead.Resources{Slots: 1}})
	apart := request("apart", cores(4))
	apart.Need.Slots = 1
	made := reserve(t, ahead.New(), at(0), apart, f)
	assert.Equal(t, made[0].Executor, "x2")
	gang := apart
	gang.Tasks = 2
	made = reserve(t, ahead.New(), at(0), gang, f)
	assert.Equal(t, len(made), 2)
	assert.Equal(t, made[0].RoomAt, at(9*time.Second))
}

// TestDelayedTaskPassesReservation guards against a preference that delays a due task for more than 1.5 s, and against
// the opposite, a step that never gets its room, once it has waited for its patience.
func TestDelayedTaskPassesReservation(t *testing.T) {
	p := ahead.New()
	f := fleet{{ID: "x0", Free: cores(1), Releases: []ahead.Release{release(9*time.Second, 7)}}}
	reserve(t, p, at(0), request("large", cores(8)), f)
	admitsAt := func(d time.Duration) bool {
		p.Begin(at(d), always, usable)
		c := ahead.Claim{Step: small, Need: cores(1), EndsAt: at(d + 20*time.Second)}
		return p.Admits(at(d), "x0", c, f.describe("x0"))
	}
	for d := time.Duration(0); d < 1500*time.Millisecond; d += 100 * time.Millisecond {
		assert.Assert(t, !admitsAt(d), "after %v", d)
	}
	assert.Assert(t, admitsAt(1500*time.Millisecond))
	assert.Assert(t, !admitsAt(2500*time.Millisecond), "it could start meanwhile, as nothing refused it")
	for d := 2500 * time.Millisecond; d < 5*time.Second; d += 500 * time.Millisecond {
		admitsAt(d)
	}
	assert.Assert(t, !admitsAt(5*time.Second), "the step has waited for its patience")
	lasting := ahead.Claim{Step: small, Need: cores(1), IsLongRunning: true}
	assert.Assert(t, p.Admits(at(5*time.Second), "x0", lasting, f.describe("x0")), "a long-running task has waited 1.5 s")
}

// TestHoldersAreBounded guards against reservations that keep a large part of the fleet idle.
func TestHoldersAreBounded(t *testing.T) {
	p, f := ahead.New(), fullFleet(9)
	for i := range f {
		f[i].Releases[0].At = at(time.Second)
	}
	p.Begin(at(0), always, usable)
	n := 0
	for i := range 9 {
		r := request(fmt.Sprintf("large%d", i), cores(8))
		if overtake(p, r, len(f)) {
			n += len(p.Search(at(0), r, len(f), f.at))
		}
	}
	assert.Equal(t, n, 1, "an eighth of 9 executors")
}

// TestWaitsAreBounded guards against a queue without a bound in the memory of the leader. The most urgent steps of the
// newest pass are kept.
func TestWaitsAreBounded(t *testing.T) {
	p, f := ahead.New(), fullFleet(1)
	for pass := range 3 {
		p.Begin(at(0), always, usable)
		for i := 0; i < 200 && !p.IsFull(); i++ {
			p.Wait(at(0), request(fmt.Sprintf("large%d-%d", pass, i), cores(8)), len(f))
		}
	}
	p.Started(small, "svc", 0, cores(1))
	assert.Assert(t, p.Wait(at(0), request("large2-0", cores(8)), len(f)))
	assert.Assert(t, p.IsFull())
	assert.Assert(t, !p.Wait(at(0), request("new", cores(8)), len(f)), "those that wait are more urgent")
}

// TestSearchContinuesInNextPass guards against a pass whose cost grows with the fleet.
func TestSearchContinuesInNextPass(t *testing.T) {
	p, f := ahead.New(), fullFleet(2500)
	for i := range f {
		f[i].Releases[0].At = at(time.Duration(2500-i) * time.Millisecond)
	}
	r := request("large", cores(8))
	calls, passes := 0, 0
	for made := 0; made == 0; passes++ {
		p.Begin(at(0), always, usable)
		assert.Assert(t, overtake(p, r, len(f)))
		before := calls
		list := p.Search(at(0), r, len(f), func(i int) (ahead.Executor, bool) {
			calls++
			return f.at(i)
		})
		assert.Assert(t, calls-before <= 1024, "each executor has one run")
		made = len(list)
		if made > 0 {
			assert.Equal(t, list[0].Executor, "x2499")
		}
	}
	assert.Equal(t, passes, 3)
}

// BenchmarkPass measures a pass with 3,000 executors of 16 runs each, in which 64 steps wait and one reserves room.
func BenchmarkPass(b *testing.B) {
	const executors, runs = 3000, 16
	f := make(fleet, executors)
	for i := range f {
		f[i].ID = fmt.Sprintf("x%04d", i)
		for k := range runs {
			f[i].Releases = append(f[i].Releases, release(time.Duration((i*7+k*131)%4000)*time.Millisecond, 1))
		}
	}
	var steps []ahead.Request
	for i := range 64 {
		steps = append(steps, request(fmt.Sprintf("large%d", i), cores(runs)))
	}
	buffer := make([]ahead.Release, runs)
	p := ahead.New()
	b.ReportAllocs()
	for b.Loop() {
		// The reservation of the pass before is dropped, so that each pass searches.
		p.Begin(at(0), always, func(ahead.Step, string) bool { return false })
		p.Started(small, "svc", 0, cores(1))
		for _, r := range steps {
			if !p.Wait(at(0), r, executors) {
				continue
			}
			p.Search(at(0), r, executors, func(i int) (ahead.Executor, bool) {
				copy(buffer, f[i].Releases)
				return ahead.Executor{ID: f[i].ID, Free: f[i].Free, Releases: buffer}, true
			})
		}
	}
}
