package opersv

import (
	"net/http"
	"slices"
	"strings"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/accept"
	"github.com/ibischute/ibischute/internal/state/slots"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Proposal is a proposed bundle in the operators' API.
type Proposal struct {
	ID       string        `json:"id"`
	State    accept.State  `json:"state"`
	Reason   string        `json:"reason,omitempty"`
	Version  ident.Version `json:"version"`
	Parent   ident.Version `json:"parent"`
	SignedBy []string      `json:"signed-by"`
	// AcceptedAt is the offset of the record in the configuration stream with which the bundle was accepted.
	AcceptedAt ident.Offset `json:"accepted-at,omitempty"`
}

func proposalOf(p accept.Proposal) Proposal {
	out := Proposal{ID: p.ID, State: p.State, Reason: p.Reason, SignedBy: p.SignerNames(), AcceptedAt: p.AcceptedAt}
	if out.SignedBy == nil {
		out.SignedBy = []string{}
	}
	if p.Bundle != nil {
		out.Version, out.Parent = p.Bundle.Version, p.Bundle.Parent
	}
	return out
}

// JobSpec is the specification of a batch job in the operators' API.
type JobSpec struct {
	ID             string `json:"id"`
	Team           string `json:"team"`
	Command        string `json:"command,omitempty"`
	Tasks          uint32 `json:"tasks"`
	MilliCPU       uint32 `json:"milli-cpu"`
	MemoryMB       uint32 `json:"memory-mb"`
	Accelerators   uint32 `json:"accelerators,omitempty"`
	RunMS          uint32 `json:"run-ms"`
	DeadlineUnixMS int64  `json:"deadline-unix-ms,omitempty"`
	Urgent         bool   `json:"urgent,omitempty"`
}

// Wire converts the specification to a protobuf message.
func (s JobSpec) Wire() *wire.JobSpec {
	return &wire.JobSpec{
		Id: s.ID, Team: s.Team, Command: s.Command, Tasks: s.Tasks, MilliCpu: s.MilliCPU, MemoryMb: s.MemoryMB,
		Accelerators: s.Accelerators, RunMs: s.RunMS, DeadlineUnixMs: s.DeadlineUnixMS, Urgent: s.Urgent,
	}
}

// Job is the status of a batch job in the operators' API.
type Job struct {
	Spec    JobSpec `json:"spec"`
	Phase   string  `json:"phase"`
	Reason  string  `json:"reason,omitempty"`
	Home    string  `json:"home"`
	Done    uint32  `json:"done"`
	Running uint32  `json:"running"`
	Pending uint32  `json:"pending"`
}

// JobOf converts a job status to the operators' API.
func JobOf(j *wire.JobStatus) Job {
	s := j.GetSpec()
	return Job{
		Spec: JobSpec{
			ID: s.GetId(), Team: s.GetTeam(), Command: s.GetCommand(), Tasks: s.GetTasks(), MilliCPU: s.GetMilliCpu(),
			MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators(), RunMS: s.GetRunMs(),
			DeadlineUnixMS: s.GetDeadlineUnixMs(), Urgent: s.GetUrgent(),
		},
		Phase: j.GetPhase(), Reason: j.GetReason(), Home: j.GetHome(), Done: j.GetDone(), Running: j.GetRunning(),
		Pending: j.GetPending(),
	}
}

// Status is the state of one instance in the operators' API.
type Status struct {
	Name        ident.Instance    `json:"name"`
	Domain      ident.Domain      `json:"domain"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Ready       bool              `json:"ready"`
	Version     ident.Version     `json:"config-version"`
	// Epoch is the offset after the last record that changed the domain's members.
	Epoch       ident.Offset `json:"view-epoch"`
	LeaseLeftMS int64        `json:"lease-left-ms"`
	IsPlacer    bool         `json:"placer"`
	InFlight    int          `json:"in-flight"`
	Members     []Member     `json:"members"`
	Peers       []Peer       `json:"peers"`
	Executors   []Executor   `json:"executors"`
}

// Member is a member of the domain's view.
type Member struct {
	Name        ident.Instance    `json:"name"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
	Voting      bool              `json:"voting"`
}

// Peer is another instance from which a heartbeat was received.
type Peer struct {
	Name             ident.Instance `json:"name"`
	Domain           ident.Domain   `json:"domain"`
	Address          string         `json:"address"`
	Version          ident.Version  `json:"config-version"`
	SinceHeartbeatMS int64          `json:"silent-ms"`
	Draining         bool           `json:"draining"`
}

// Executor is the slot accounting of an executor of the domain.
type Executor struct {
	Name ident.Executor `json:"name"`
	// Acting reports whether the instance may assign the executor's slots.
	Acting bool `json:"acting"`
	Slots  int  `json:"slots"`
	Used   int  `json:"used"`
	// Draining is the number of slots whose work was cancelled but has not provably ended.
	Draining int `json:"draining"`
	// Foreign is the number of slots that other instances still use.
	Foreign int `json:"foreign"`
	// Leaving reports whether the executor gets no new work, because it has announced that it is leaving, or because the
	// executor list marks it as leaving or no longer contains it.
	Leaving bool `json:"leaving"`
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	now := s.opts.Now()
	v := s.opts.Member.View()
	out := Status{
		Name: s.opts.Name, Domain: s.opts.Domain, Incarnation: s.opts.Member.Incarnation(), Ready: s.opts.IsReady(),
		Version: s.opts.Rollout.Version(), Epoch: v.Epoch(), IsPlacer: s.opts.Member.MayAct(now, ident.PlacerKey),
		LeaseLeftMS: max(0, s.opts.Member.LeaseUntil(now).Sub(now).Milliseconds()),
		InFlight:    s.opts.Sched.InFlight(), Members: []Member{}, Peers: []Peer{}, Executors: []Executor{},
	}
	for _, m := range v.Members() {
		out.Members = append(out.Members, Member{m.Name, m.Incarnation, m.Address, m.Voting})
	}
	for _, p := range s.opts.Member.AllPeers() {
		out.Peers = append(out.Peers, Peer{
			p.Name, p.Domain, p.Address, p.Version, now.Sub(p.LastHeartbeatAt).Milliseconds(), p.Draining,
		})
	}
	slices.SortFunc(out.Peers, func(a, b Peer) int { return strings.Compare(a.Address, b.Address) })
	for _, e := range s.opts.Sched.Executors() {
		out.Executors = append(out.Executors, executorOf(e))
	}
	slices.SortFunc(out.Executors, func(a, b Executor) int { return strings.Compare(string(a.Name), string(b.Name)) })
	httpj.Write(w, http.StatusOK, out)
}

func executorOf(e slots.Executor) Executor {
	return Executor{
		Name: e.Name, Acting: e.Acting, Slots: e.Slots, Used: e.Used, Draining: e.Draining, Foreign: e.Foreign,
		Leaving: e.Leaving || e.ReportsLeaving,
	}
}
