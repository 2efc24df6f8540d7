package main

import (
	"fmt"
	"testing"

	"auburntack/io/tackstandin"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an added daemon that never becomes a member, and against a
// removed one that continues to answer as a member or disturbs the others. A
// fourth daemon is added through a follower and becomes a replica, then the
// leader is removed. Every daemon must accept a change of members, the added
// one must learn of it, and a removed one must not force elections.
func TestMembersChange(t *testing.T) {
	s := newSite(t, 2)
	s.do(t, "set config colour red")
	leader, others := s.leader(t)
	added, err := tackstandin.NewMember(s.daemons, "", tackstandin.DaemonSpec{DataCentre: "quimper", Replica: true})
	must(t, err)
	join := fmt.Sprintf("add peer %s address %s data_centre quimper replica ", added.ID, added.Peer)
	s.acceptedBy(t, others[0], join+"no", "")
	must(t, added.Start(waitTimeout))
	t.Cleanup(added.Kill)
	s.await(t, "the added daemon to catch up", func() bool {
		value, confirmed := valueOn(added, "colour")
		return confirmed && value == "red"
	})
	s.acceptedBy(t, others[0], join+"yes", "")
	s.acceptedBy(t, others[0], "remove peer "+leader.ID, "")
	s.await(t, "the removed daemon to answer as unconfirmed", func() bool {
		reply, err := leader.Ask("show pools")
		return err == nil && !reply.Confirmed
	})
	s.acceptedBy(t, added, "set config colour blue", "blue-1")
	value, _ := valueOn(others[1], "colour")
	rows, err := others[1].Ask("show peers")
	must(t, err)
	Convey("The three remaining daemons accept changes", t, func() {
		So(value, ShouldEqual, "blue")
		So(rows.Rows, ShouldHaveLength, 3)
		for _, row := range rows.Rows {
			So(row[0], ShouldNotEqual, leader.ID)
		}
	})
}
