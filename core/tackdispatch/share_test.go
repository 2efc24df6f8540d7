package tackdispatch

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackworkspace"
)

// twentyWorkspaces returns workspaces of equal weight, without caps.
func twentyWorkspaces() []tackworkspace.Workspace {
	var list []tackworkspace.Workspace
	for n := range 20 {
		name := fmt.Sprintf("w-%02d", n)
		list = append(list, tackworkspace.Workspace{
			Name: tackid.Workspace(name), Weight: 10, Keys: []tackworkspace.Fingerprint{tackworkspace.FingerprintOf(name)},
		})
	}
	return list
}

// sender submits jobs for a workspace.
type sender struct {
	name tackid.Workspace
	sent []tackjob.ID
	// refused counts the refused jobs.
	refused int
}

func (s *sender) send(w *world, next *int, step tackjob.Step) {
	*next++
	id := job(*next)
	spec := &tackjob.Spec{ID: id, Queue: testQueue.QueueKey, Steps: []tackjob.Step{step}}
	if a := w.d.Admit(w.now, &testQueue, spec, s.name); !a.Accepted {
		s.refused++
		return
	}
	w.submitFor(s.name, id, step)
	s.sent = append(s.sent, id)
}

// inTime counts the jobs that were done within their objective.
func (s *sender) inTime(w *world) int {
	n := 0
	for _, id := range s.sent {
		j := w.state.Jobs.Get(id)
		chain := float64(j.CriticalPath())
		if j.Phase == tackjob.Complete && j.Closed.Sub(j.Accepted) <= tackclock.Duration(j.Stretch*chain)+j.Objective {
			n++
		}
	}
	return n
}

// Load pattern: one workspace submits ten jobs a second for twenty seconds, to workers
// that are half busy with the job that each of nineteen others submits every second or
// two.
//
// Guards against refusing or delaying the others' jobs: one in ten of them was, when jobs
// were accepted and started by their deadlines only, regardless of their workspace.
func TestBurstOfOneWorkspaceLeavesTheOthersTheirShare(t *testing.T) {
	w := newWorld(t, 10) // 160 cores
	w.putWorkspaces(twentyWorkspaces())
	w.run(5 * tackclock.Second)
	senders := make([]sender, 20)
	for n := range senders {
		senders[n].name = tackid.Workspace(fmt.Sprintf("w-%02d", n))
	}
	next := 0
	step := batch(4, 2, 1000) // eight core-seconds
	for round := range 50 {   // of half a second
		for n := range senders {
			if n > 0 && (round+n)%2 == 0 { // one job a second each: 76 cores
				senders[n].send(w, &next, step)
			}
		}
		if round >= 4 && round < 44 {
			for range 5 { // ten a second: 80 cores
				senders[0].send(w, &next, step)
			}
		}
		w.run(500)
	}
	w.run(15 * tackclock.Second)
	asked, served := 0, 0
	for n := range senders[1:] {
		s := &senders[1+n]
		asked += len(s.sent) + s.refused
		served += s.inTime(w)
	}
	if 100*served < 98*asked {
		t.Errorf("%d of the others' %d jobs are done in time", served, asked)
	}
	own := senders[0].inTime(w)
	if total := len(senders[0].sent) + senders[0].refused; 100*own < 20*total {
		t.Errorf("%d of its own %d jobs are done in time, and there was room for more", own, total)
	}
	t.Logf("others: %d of %d in time; its own: %d in time, %d accepted, %d refused", served, asked, own, len(senders[0].sent), senders[0].refused)
}
