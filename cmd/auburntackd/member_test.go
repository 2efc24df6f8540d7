package main

import (
	"fmt"
	"testing"

	"auburntack/io/tackstandin"

	. "github.com/smartystreets/goconvey/convey"
)

// Symptom: a VM of the system that was added never takes part, or one that was
// removed goes on answering as if it did or disturbs the others.
// Sequence: a fourth daemon is added through one that does not lead, becomes a
// replica, then the leader is removed.
// Cause: a change of members that only the leader takes, that the added VM
// learns nothing of, or elections that a removed one forces.
func TestMembersChange(t *testing.T) {
	s := newSite(t, 2)
	s.do(t, "set config colour red")
	leads, others := s.leader(t)
	added, err := tackstandin.Joining(s.daemons, "", tackstandin.Place{DataCentre: "quimper", Replica: true})
	must(t, err)
	join := fmt.Sprintf("add peer %s address %s data_centre quimper replica ", added.ID, added.Peer)
	s.acceptedBy(t, others[0], join+"no", "")
	must(t, added.Start(startLimit))
	t.Cleanup(added.Kill)
	s.await(t, "the added VM to catch up", func() bool {
		value, confirmed := valueOn(added, "colour")
		return confirmed && value == "red"
	})
	s.acceptedBy(t, others[0], join+"yes", "")
	s.acceptedBy(t, others[0], "remove peer "+leads.ID, "")
	s.await(t, "the removed VM to know", func() bool {
		reply, err := leads.Ask("show pools")
		return err == nil && !reply.Confirmed
	})
	s.acceptedBy(t, added, "set config colour blue", "blue-1")
	value, _ := valueOn(others[1], "colour")
	rows, err := others[1].Ask("show peers")
	must(t, err)
	Convey("The three that are left go on", t, func() {
		So(value, ShouldEqual, "blue")
		So(rows.Rows, ShouldHaveLength, 3)
		for _, row := range rows.Rows {
			So(row[0], ShouldNotEqual, leads.ID)
		}
	})
}
