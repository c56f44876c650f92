package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/stand/memlog"
)

func TestLeaderKilledWhileJobsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		for id := range 10 {
			s.accept(s.instances[id%3], id)
			time.Sleep(50 * time.Millisecond)
		}
		first.kill()
		s.awaitOtherLeader(first, 2500*time.Millisecond)
		time.Sleep(4 * time.Second)
		s.checkCompleted(s.leader(), 10)
	})
}

func TestResigningLeaderHandsOverImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		for id := range 5 {
			s.accept(first, id)
		}
		first.elector.Resign()
		s.awaitOtherLeader(first, 500*time.Millisecond)
		time.Sleep(3 * time.Second)
		s.checkCompleted(s.leader(), 5)
	})
}

func TestLeaderWithoutStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		first.view.SetFaults(memlog.Faults{Unresponsive: true})
		for id := range 5 {
			time.Sleep(300 * time.Millisecond)
			s.accept(s.others(first)[0], id)
		}
		time.Sleep(8 * time.Second)
		assert.Assert(t, s.leader() != nil && s.leader() != first)
		s.checkCompleted(s.leader(), 5)
		first.view.SetFaults(memlog.Faults{})
		time.Sleep(3 * time.Second)
		s.checkCompleted(first, 5)
	})
}

// TestTasksStartSoonAfterStoreRefusesLeader checks a leader that alone does not reach the store, with jobs that have
// started. It must give up the lead to an instance that does, and no task may run twice.
func TestTasksStartSoonAfterStoreRefusesLeader(t *testing.T) {
	const maxReplacement = 1500 * time.Millisecond
	for name, f := range map[string]memlog.Faults{"refused": {Down: true}, "unanswered": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, first := newSystemWithLeader(t)
				other := s.others(first)[0]
				for id := range 5 {
					s.accept(other, id)
				}
				first.view.SetFaults(f)
				s.awaitOtherLeader(first, maxReplacement)
				for id := range 5 {
					s.accept(other, 5+id)
				}
				time.Sleep(3 * time.Second)
				s.checkCompleted(s.leader(), 10)
			})
		})
	}
}

func TestTakeoverAfterLogTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		for id := range 5 {
			s.accept(first, id)
		}
		time.Sleep(100 * time.Millisecond)
		for _, topic := range []logs.Topic{logs.Intake, logs.Progress, logs.Election, logs.Operator, logs.Backends} {
			s.log.Trim(topic, 0)
		}
		s.instances = append(s.instances, s.start("n9"))
		time.Sleep(2 * time.Second)
		first.kill()
		time.Sleep(6 * time.Second)
		s.checkCompleted(s.leader(), 5)
	})
}
