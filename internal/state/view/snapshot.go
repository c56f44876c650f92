package view

import (
	"github.com/ibischute/ibischute/internal/modules/rendez"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Snapshot returns the View as a record of the stream.
func (v View) Snapshot() *wire.MemberSnapshot {
	out := &wire.MemberSnapshot{Next: uint64(v.next), Epoch: uint64(v.epoch)}
	for _, m := range v.Members() {
		s := snapshotOf(m)
		for by, inc := range v.admits[m.Name] {
			s.AdmittedBy = append(s.AdmittedBy, &wire.Member{Name: string(by), Incarnation: uint64(inc)})
		}
		out.Members = append(out.Members, s)
	}
	for _, e := range v.ended {
		out.Ended = append(out.Ended, &wire.SnapshotEnded{
			Member: snapshotOf(e.Member), At: uint64(e.At), Dead: e.IsTerminated,
		})
	}
	return out
}

func snapshotOf(m Member) *wire.SnapshotMember {
	return &wire.SnapshotMember{
		Member: &wire.Member{Name: string(m.Name), Incarnation: uint64(m.Incarnation), PeerAddress: m.Address},
		Joined: uint64(m.Joined), Voting: m.Voting,
	}
}

func memberOf(s *wire.SnapshotMember) Member {
	return Member{
		Name: ident.Instance(s.GetMember().GetName()), Incarnation: ident.Incarnation(s.GetMember().GetIncarnation()),
		Address: s.GetMember().GetPeerAddress(), Joined: ident.Offset(s.GetJoined()), Voting: s.GetVoting(),
	}
}

// FromSnapshot restores a View from a snapshot. The records from the offset Next on must still be applied.
func FromSnapshot(s *wire.MemberSnapshot) View {
	v := View{next: ident.Offset(s.GetNext()), epoch: ident.Offset(s.GetEpoch())}.clone()
	for _, m := range s.GetMembers() {
		member := memberOf(m)
		v.members[member.Name] = member
		for _, by := range m.GetAdmittedBy() {
			if v.admits[member.Name] == nil {
				v.admits[member.Name] = map[ident.Instance]ident.Incarnation{}
			}
			v.admits[member.Name][ident.Instance(by.GetName())] = ident.Incarnation(by.GetIncarnation())
		}
	}
	for _, e := range s.GetEnded() {
		v.ended = append(v.ended, Ended{
			Member: memberOf(e.GetMember()), At: ident.Offset(e.GetAt()), IsTerminated: e.GetDead(),
		})
	}
	v.owners = rendez.New(v.voting())
	return v
}
