package tackshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroute"
	"auburntack/core/tackshare"
)

const (
	service       tackid.Service = "names-api"
	executorSlots                = 8
	meanService                  = 50.0
	callerTimeout                = 2 * tackclock.Second
	// tickInterval is how often Tick is called, minTickInterval how soon after
	// the last call when requests begin to wait.
	tickInterval    = 100 * tackclock.Millisecond
	minTickInterval = 10 * tackclock.Millisecond
)

type (
	// strategy is a method for peers to share the slots of executors.
	strategy interface {
		// pick takes a slot for a request at a peer.
		pick(now tackclock.Time, vm int) (executor int, ok bool)
		done(now tackclock.Time, vm, executor int)
		// tick sends messages; waiting holds the number of waiting requests
		// by VM.
		tick(now tackclock.Time, waiting []int)
		traffic() (messages, bytes int)
	}

	// load describes how requests arrive.
	load struct {
		vms, executors int
		// part is the arrival rate as a part of the capacity of all
		// executors.
		part float64
		// hot is the part of the requests that arrive at one peer, which
		// changes every hotFor.
		hot    float64
		hotFor tackclock.Duration
	}

	// result holds the results of a run of the model.
	result struct {
		requests, late, overloaded int
		// idle is the part of all slot time in which a slot was idle while a
		// caller waited.
		idle            float64
		meanWait        float64
		messages, bytes float64 // per peer and second
	}

	running struct {
		vm, executor int
		sent, ends   tackclock.Time
	}

	// model simulates peers and executors in steps of one millisecond.
	model struct {
		load
		strategy strategy
		random   *rand.Rand
		waiting  [][]tackclock.Time
		busy     []int
		queued   [][]running
		working  []running
		result   result
		waited   tackclock.Duration
		idleMS   int
	}
)

func runModel(l load, sharing strategy, seed uint64, span tackclock.Duration) result {
	m := &model{load: l, strategy: sharing, random: rand.New(rand.NewPCG(seed, 1)),
		waiting: make([][]tackclock.Time, l.vms), busy: make([]int, l.executors),
		queued: make([][]running, l.executors)}
	const warm = 5 * tackclock.Second
	start := tackclock.Time(tackclock.Hour)
	var before [2]int
	for now := start; now < start.Add(warm+span); now++ {
		if now == start.Add(warm) {
			m.result, m.waited, m.idleMS = result{}, 0, 0
			before[0], before[1] = sharing.traffic()
		}
		m.step(now)
	}
	messages, bytes := sharing.traffic()
	seconds := float64(span) / float64(tackclock.Second)
	m.result.messages = float64(messages-before[0]) / float64(l.vms) / seconds
	m.result.bytes = float64(bytes-before[1]) / float64(l.vms) / seconds
	m.result.idle = float64(m.idleMS) / float64(l.executors*executorSlots) / float64(span)
	m.result.meanWait = float64(m.waited) / float64(max(m.result.requests, 1))
	return m.result
}

func (m *model) step(now tackclock.Time) {
	m.finish(now)
	m.arrive(now)
	counts := make([]int, m.vms)
	for vm := range m.vms {
		m.dispatch(now, vm)
		counts[vm] = len(m.waiting[vm])
	}
	m.strategy.tick(now, counts)
	m.count(counts)
}

func (m *model) finish(now tackclock.Time) {
	m.working = slices.DeleteFunc(m.working, func(r running) bool {
		if r.ends > now {
			return false
		}
		m.strategy.done(now, r.vm, r.executor)
		m.busy[r.executor]--
		return true
	})
	for e, queue := range m.queued {
		for len(queue) > 0 && m.busy[e] < executorSlots {
			m.run(now, queue[0])
			queue = queue[1:]
		}
		m.queued[e] = queue
	}
}

func (m *model) run(now tackclock.Time, r running) {
	m.waited += now.Sub(r.sent)
	r.ends = now + 1 + tackclock.Time(m.random.ExpFloat64()*meanService)
	m.busy[r.executor]++
	m.working = append(m.working, r)
}

func (m *model) arrive(now tackclock.Time) {
	mean := m.part * float64(m.executors*executorSlots) / (meanService + 1)
	hot := int(now/tackclock.Time(m.hotFor)) % m.vms
	for t := m.random.ExpFloat64() / mean; t < 1; t += m.random.ExpFloat64() / mean {
		vm := m.random.IntN(m.vms)
		if m.random.Float64() < m.hot {
			vm = hot
		}
		m.waiting[vm] = append(m.waiting[vm], now)
		m.result.requests++
	}
}

func (m *model) dispatch(now tackclock.Time, vm int) {
	for len(m.waiting[vm]) > 0 {
		since := m.waiting[vm][0]
		if now.Sub(since) > callerTimeout {
			m.result.late++
			m.waiting[vm] = m.waiting[vm][1:]
			continue
		}
		e, ok := m.strategy.pick(now, vm)
		if !ok {
			return
		}
		m.waiting[vm] = m.waiting[vm][1:]
		m.waited += now.Sub(since)
		r := running{vm: vm, executor: e, sent: now}
		if m.busy[e] >= executorSlots {
			m.result.overloaded++
			m.queued[e] = append(m.queued[e], r)
			continue
		}
		m.run(now, r)
	}
}

func (m *model) count(waiting []int) {
	idle, callers := 0, 0
	for _, busy := range m.busy {
		idle += executorSlots - busy
	}
	for _, n := range waiting {
		callers += n
	}
	m.idleMS += min(idle, callers)
}

// leasedShares is the strategy of this package, with the Sharer and Chooser of
// every peer.
type leasedShares struct {
	vms       []*simPeer
	inTransit []envelope
	messages  int
	bytes     int
	// random, if set, makes the network lose a tenth of the frames, duplicate
	// a tenth and delay each by up to 60 ms.
	random *rand.Rand
}

type (
	simPeer struct {
		sharer   *tackshare.Sharer
		chooser  tackroute.Chooser
		inFlight int
		waiting  int
		ticked   tackclock.Time
		down     bool
	}

	envelope struct {
		at       tackclock.Time
		from, to int
		frame    tackshare.Frame
	}
)

const home tackid.DataCentre = "rennes-a"

func (v *simPeer) SetShares(_ tackclock.Time, g tackshare.Group, bound int, shares []tackroute.Share) {
	v.chooser.SetShares(g.DataCentre, bound, shares)
}

func (v *simPeer) Usage(tackclock.Time, tackshare.Subject) tackshare.Usage {
	return tackshare.Usage{Waiting: v.waiting, InUse: v.chooser.InUse()}
}

func peerOf(vm int) tackid.Peer {
	return tackid.Peer(fmt.Sprintf("%s-%d", home, vm))
}

func sourceOf(e int) tackroute.SlotSource {
	return tackroute.SlotSource{BackendServer: tackid.BackendServer(fmt.Sprintf("%s-%d", service, e)), Incarnation: 1}
}

func tableOf(executors int) *tackroute.Table {
	var all []tackroute.Candidate
	for e := range executors {
		source := sourceOf(e)
		all = append(all, tackroute.Candidate{BackendServer: source.BackendServer, Incarnation: source.Incarnation,
			VM: tackid.VM(fmt.Sprint("vm-", e)), DataCentre: home, Slots: executorSlots, Connections: 64})
	}
	return &tackroute.Table{Services: map[tackid.Service][]tackroute.Candidate{service: all}}
}

func newLeasedShares(l load) *leasedShares {
	w := new(leasedShares)
	for vm := range l.vms {
		w.vms = append(w.vms, newSimPeer(tackclock.Time(tackclock.Hour), vm, l.vms, 1))
		w.vms[vm].setTable(tackclock.Time(tackclock.Hour), l.executors)
	}
	return w
}

// newSimPeer starts one of a number of peers.
func newSimPeer(now tackclock.Time, vm, vms int, epoch uint64) *simPeer {
	var peers []tackshare.PeerLocation
	for vm := range vms {
		peers = append(peers, tackshare.PeerLocation{Peer: peerOf(vm), DataCentre: home})
	}
	v := new(simPeer)
	v.sharer = &tackshare.Sharer{Self: peerOf(vm), Home: home, Epoch: epoch, Consumer: v}
	v.sharer.SetPeers(now, peers)
	return v
}

// setTable sets the table of a peer to the given number of executors.
func (v *simPeer) setTable(now tackclock.Time, executors int) {
	table := tableOf(executors)
	v.chooser.SetCandidates(table.Services[service])
	v.sharer.SetTable(now, table)
}

func (w *leasedShares) pick(now tackclock.Time, vm int) (int, bool) {
	v := w.vms[vm]
	if v.down || v.inFlight >= w.capacity(now, vm) {
		return 0, false
	}
	c, ok := v.chooser.Pick(now, tackroute.Constraints{Home: home})
	if !ok {
		return 0, false
	}
	v.inFlight++
	return executorOf(c), true
}

func executorOf(c tackroute.Candidate) int {
	var e int
	fmt.Sscanf(string(c.BackendServer), string(service)+"-%d", &e)
	return e
}

func (w *leasedShares) done(now tackclock.Time, vm, executor int) {
	source := sourceOf(executor)
	w.vms[vm].inFlight--
	w.vms[vm].chooser.Done(now, tackroute.Candidate{BackendServer: source.BackendServer, Incarnation: source.Incarnation},
		tackroute.Outcome{})
}

func (w *leasedShares) tick(now tackclock.Time, waiting []int) {
	arrived := w.inTransit
	w.inTransit = nil
	for _, e := range arrived {
		if e.at > now {
			w.inTransit = append(w.inTransit, e)
			continue
		}
		if v := w.vms[e.to]; !v.down {
			w.send(now, e.to, v.sharer.Receive(now, peerOf(e.from), e.frame))
		}
	}
	for vm, v := range w.vms {
		began := v.waiting == 0 && waiting[vm] > 0 && now.Sub(v.ticked) >= minTickInterval
		v.waiting = waiting[vm]
		if v.down || (now.Sub(v.ticked) < tickInterval && !began) {
			continue
		}
		v.ticked = now
		w.send(now, vm, v.sharer.Tick(now))
	}
}

func (w *leasedShares) send(now tackclock.Time, from int, out []tackshare.Outgoing) {
	for _, o := range out {
		to := slices.IndexFunc(w.vms, func(v *simPeer) bool { return v.sharer.Self == o.To })
		encoded, _ := cbor.Marshal(o.Frame)
		w.messages++
		w.bytes += len(encoded)
		var received tackshare.Frame
		if err := cbor.Unmarshal(encoded, &received); err != nil {
			panic(err)
		}
		for range w.copies() {
			w.inTransit = append(w.inTransit, envelope{at: now.Add(w.delay()), from: from, to: to, frame: received})
		}
	}
}

func (w *leasedShares) copies() int {
	if w.random == nil {
		return 1
	}
	switch w.random.IntN(10) {
	case 0:
		return 0
	case 1:
		return 2
	}
	return 1
}

func (w *leasedShares) delay() tackclock.Duration {
	if w.random == nil {
		return 1
	}
	return tackclock.Duration(1 + w.random.IntN(60))
}

// capacity returns how many requests a peer may have in flight.
func (w *leasedShares) capacity(now tackclock.Time, vm int) int {
	return w.vms[vm].chooser.Capacity(now, tackroute.Constraints{Home: home})
}

func (w *leasedShares) traffic() (int, int) { return w.messages, w.bytes }
