package tackpool

import "testing"

func TestStatuses(t *testing.T) {
	pools := []Pool{
		{Service: "backoffice", Standby: true, VMs: idle("s")},
		{Service: "communes", VMs: append(busy("a"), idle("b", "c")...), Demands: []Demand{{Backlog: seconds(48, 2), Pressing: 38400, Arriving: 8000}}},
		{Service: "names-api", VMs: busy("d"), Incoming: idle("e"), Demands: []Demand{{Backlog: seconds(16, 8), Pressing: 51200, Late: seconds(16, 5)}}},
	}
	want := []PoolStatus{
		{Service: "communes", VMs: 3, Idle: 2, Fixed: 1, Cores: 48000, Wanted: 46400, BacklogMS: 2000, Arriving: 8000},
		{Service: "names-api", VMs: 1, Fixed: 1, Cores: 16000, Coming: 16000, Wanted: 59200, BacklogMS: 8000, LateMS: 5000},
	}
	got := (Planner{}).Statuses(pools)
	if len(got) != len(want) {
		t.Fatalf("statuses %+v, want %+v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("standing %+v, want %+v", got[i], want[i])
		}
	}
	if got[0].Lacks() || !got[1].Lacks() {
		t.Error("want only the second pool to lack VMs")
	}
}
