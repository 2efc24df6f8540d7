package tackwork

import (
	"bytes"
	"reflect"
	"strconv"
	"testing"

	"auburntack/core/tackcbor"
	"auburntack/core/tackcrash"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackreplica"
)

// notUTF8 is a string that CBOR does not allow in text.
const notUTF8 = "m-\xff\xfe"

// assertReplicated applies the changes to two replicas, one of which restarts from a snapshot
// after each of them, and asserts that both end in the same state.
func assertReplicated(t *testing.T, changes ...Change) {
	t.Helper()
	first, second := newLog(t), newLog(t)
	for _, c := range changes {
		first.append(t, c)
		second.append(t, c)
		data, err := second.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		second.State = State{}
		if err := second.Restore(data); err != nil {
			t.Fatalf("restore after %+v: %v", c, err)
		}
	}
	want, err := first.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := second.Snapshot(); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the replica that restarted differs: %v", err)
	}
}

// Guards against entries that a replica cannot read. The name of a worker's VM in bytes that
// are not UTF-8 was written to the log, and every replica stopped at that entry at every start.
func TestReplicasReadWhatALeaderWrites(t *testing.T) {
	const id = "00000000000000a1"
	t.Run("strings of any bytes in all fields", func(t *testing.T) {
		var sent, got Change
		fill(reflect.ValueOf(&sent).Elem(), notUTF8)
		if err := tackcbor.Unmarshal(sent.Encode(), &got); err != nil || !reflect.DeepEqual(sent, got) {
			t.Errorf("sent %+v, got %+v, %v", sent, got, err)
		}
		if _, _, err := new(State).Apply(tackreplica.Entry{Index: 1, Term: 1, Data: sent.Encode()}); err != nil {
			t.Error(err)
		}
	})
	t.Run("a doubt about a run", func(t *testing.T) {
		doubt := tackcrash.Doubt{Crash: tackcrash.Crash{Run: 1, VM: notUTF8}, WorkerID: notUTF8}
		item := tackjob.Item{Job: id}
		findings := &tackjob.Findings{Doubts: []tackjob.Doubt{{Item: item, Doubt: doubt}}}
		assertReplicated(t, Change{Submit: twoSteps(id)}, Change{Findings: findings})
	})
	t.Run("VMs about to get orders", func(t *testing.T) {
		assertReplicated(t, Change{PendingVMOrders: []tackid.VM{notUTF8}})
	})
	t.Run("a long list", func(t *testing.T) {
		var vms []tackid.VM
		for i := range 200_000 {
			vms = append(vms, tackid.VM(strconv.Itoa(i)))
		}
		assertReplicated(t, Change{PendingVMOrders: vms})
	})
	t.Run("more jobs than the CBOR library decodes by default", func(t *testing.T) {
		l := newLog(t)
		for i := range 140_000 {
			l.Jobs.Accept(&tackjob.Job{Spec: tackjob.Spec{ID: tackjob.ID(strconv.Itoa(i)), Steps: []tackjob.Step{{Count: 1}}}}, 1, 1)
		}
		data, err := l.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		var restored State
		if err := restored.Restore(data); err != nil || restored.Jobs.Len() != l.Jobs.Len() {
			t.Errorf("restored %d of %d jobs: %v", restored.Jobs.Len(), l.Jobs.Len(), err)
		}
	})
}
