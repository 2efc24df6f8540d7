package tackreplica

import (
	"bytes"
	"container/heap"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const second = tackclock.Second

type (
	fataler interface {
		Helper()
		Fatalf(format string, args ...any)
	}

	// cluster is a fake network of nodes with fake disks and clocks that
	// differ. After each event it checks what must always hold.
	cluster struct {
		t       fataler
		rand    *rand.Rand
		cfg     Config
		now     tackclock.Time
		events  events
		seq     int
		vms     []*fakeVM
		cut     map[[2]tackid.Peer]bool
		loss    int // of 1,000 messages
		doubled int // of 1,000 messages
		delay   int // at most, in milliseconds

		leaders map[Term]tackid.Peer
		log     []Entry // what any VM has applied
		inForce tackid.Revision

		messages, bytes map[tackid.Peer]int
	}

	// fakeVM is the owner of one node.
	fakeVM struct {
		c      *cluster
		peer   tackid.Peer
		node   *Node
		disk   Stored
		life   int
		offset tackclock.Time
		drift  int64 // of 1,000
		frozen tackclock.Time
		ready  *Ready
		inbox  []Message

		applied  tackid.Revision
		value    []byte
		replayed int
		onApply  func(*fakeVM, Entry)
	}

	event struct {
		at  tackclock.Time
		seq int
		do  func()
	}

	events []event
)

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newCluster starts one voter for each name, with an empty folder.
func newCluster(t fataler, seed uint64, names ...tackid.Peer) *cluster {
	var members []Member
	for _, p := range names {
		members = append(members, Member{Peer: p, Voter: true})
	}
	return newClusterOf(t, seed, Config{Members: members}, names...)
}

func newClusterOf(t fataler, seed uint64, cfg Config, names ...tackid.Peer) *cluster {
	c := &cluster{
		t: t, cfg: cfg, rand: rand.New(rand.NewPCG(seed, 1)), delay: 2, now: 1000,
		cut: make(map[[2]tackid.Peer]bool), leaders: make(map[Term]tackid.Peer),
		messages: make(map[tackid.Peer]int), bytes: make(map[tackid.Peer]int),
	}
	for _, p := range names {
		v := &fakeVM{c: c, peer: p, drift: c.rand.Int64N(21) - 10}
		c.vms = append(c.vms, v)
		v.start()
	}
	return c
}

func (c *cluster) after(d tackclock.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, do: do})
}

// run plays all events of the next d milliseconds of true time.
func (c *cluster) run(d tackclock.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
		c.check()
	}
	c.now = end
}

func (c *cluster) vm(peer tackid.Peer) *fakeVM {
	i := slices.IndexFunc(c.vms, func(v *fakeVM) bool { return v.peer == peer })
	return c.vms[i]
}

// leader returns the VM that holds the leader's lease.
func (c *cluster) leader() *fakeVM {
	for _, v := range c.vms {
		if v.awake() && v.node.LeaderLease(v.now()) {
			return v
		}
	}
	return nil
}

// check asserts the invariants that hold at each moment.
func (c *cluster) check() {
	var holder *fakeVM
	for _, v := range c.vms {
		if !v.awake() {
			continue
		}
		if v.node.role == Leader {
			c.checkTerm(v)
		}
		if v.node.LeaderLease(v.now()) {
			if holder != nil {
				c.t.Fatalf("%s and %s hold the leader's lease at %d", holder.peer, v.peer, c.now)
			}
			holder = v
		}
	}
	if holder != nil {
		for c.inForce < tackid.Revision(len(c.log)) {
			if done, _ := holder.node.InForce(holder.now(), c.inForce+1); !done {
				break
			}
			c.inForce++
		}
	}
	for _, v := range c.vms {
		if v.awake() && v.node.Leased(v.now()) && v.applied < c.inForce {
			c.t.Fatalf("%s holds a lease at %d, but %d is in force", v.peer, v.applied, c.inForce)
		}
	}
}

func (c *cluster) checkTerm(v *fakeVM) {
	if other, ok := c.leaders[v.node.hard.Term]; ok && other != v.peer {
		c.t.Fatalf("%s and %s lead in term %d", other, v.peer, v.node.hard.Term)
	}
	c.leaders[v.node.hard.Term] = v.peer
}

func (c *cluster) transmit(m Message) {
	data, err := cbor.Marshal(m)
	if err != nil {
		c.t.Fatalf("encode: %v", err)
	}
	for _, peer := range []tackid.Peer{m.From, m.To} {
		c.messages[peer]++
		c.bytes[peer] += len(data)
	}
	copies := 1
	if c.rand.IntN(1000) < c.doubled {
		copies = 2
	}
	for range copies {
		if c.rand.IntN(1000) < c.loss {
			continue
		}
		c.after(tackclock.Duration(1+c.rand.IntN(c.delay)), func() { c.deliver(m, data) })
	}
}

func (c *cluster) deliver(m Message, data []byte) {
	v := c.vm(m.To)
	if c.cut[[2]tackid.Peer{m.From, m.To}] || v.node == nil {
		return
	}
	var received Message
	if err := cbor.Unmarshal(data, &received); err != nil {
		c.t.Fatalf("decode: %v", err)
	}
	v.inbox = append(v.inbox, received)
	v.work()
}

func (c *cluster) cutLink(a, b tackid.Peer, cut bool) {
	c.cut[[2]tackid.Peer{a, b}] = cut
}

// cutOff cuts or heals all links of v.
func (c *cluster) cutOff(v *fakeVM, cut bool) {
	for _, other := range c.vms {
		c.cutLink(v.peer, other.peer, cut)
		c.cutLink(other.peer, v.peer, cut)
	}
}

func (v *fakeVM) now() tackclock.Time {
	return v.offset + v.c.now + tackclock.Time(int64(v.c.now)*v.drift/1000)
}

func (v *fakeVM) awake() bool {
	return v.node != nil && v.frozen <= v.c.now
}

// start begins a new life with what is on the disk and a clock set anew.
func (v *fakeVM) start() {
	c := v.c
	v.life++
	v.offset = tackclock.Time(c.rand.Int64N(100_000))
	cfg := c.cfg
	cfg.Self, cfg.Seed = v.peer, c.rand.Uint64()
	v.applied, v.value = v.disk.Snapshot.Index, v.disk.Snapshot.Data
	v.node = New(cfg, v.disk, v.now())
	v.tick(v.life)
}

// kill ends the life; what was not synced is gone.
func (v *fakeVM) kill() {
	v.life++
	v.node, v.ready, v.inbox, v.frozen = nil, nil, nil, 0
}

func (v *fakeVM) freeze(d tackclock.Duration) {
	v.frozen = v.c.now.Add(d)
	life := v.life
	v.c.after(d, func() {
		if v.life == life {
			v.work()
		}
	})
}

func (v *fakeVM) tick(life int) {
	if v.life != life {
		return
	}
	if v.awake() {
		v.node.Tick(v.now())
		v.work()
	}
	v.c.after(25, func() { v.tick(life) })
}

// work steps what has arrived and begins to sync what the node has ready.
func (v *fakeVM) work() {
	if !v.awake() || v.ready != nil {
		return
	}
	for _, m := range v.inbox {
		v.node.Step(v.now(), m)
	}
	v.inbox = nil
	r, ok := v.node.Ready()
	if !ok {
		return
	}
	v.ready = &r
	life := v.life
	v.c.after(tackclock.Duration(v.c.rand.IntN(2)), func() { v.finish(life) })
}

func (v *fakeVM) finish(life int) {
	if v.life != life {
		return
	}
	if !v.awake() {
		v.c.after(20, func() { v.finish(life) })
		return
	}
	r := *v.ready
	v.ready = nil
	v.persist(r)
	for _, m := range r.Messages {
		v.c.transmit(m)
	}
	for _, e := range r.Committed {
		v.apply(e)
	}
	v.node.Applied(v.applied)
	v.node.Advance(r)
	v.compact()
	v.work()
}

func (v *fakeVM) persist(r Ready) {
	if r.Hard != nil {
		v.disk.Hard = *r.Hard
	}
	if s := r.Snapshot; s != nil {
		if s.Index < v.applied {
			v.c.t.Fatalf("%s falls from %d to %d", v.peer, v.applied, s.Index)
		}
		v.disk.Snapshot, v.disk.Entries = *s, nil
		v.applied, v.value = s.Index, s.Data
	}
	if len(r.Entries) > 0 {
		keep := int(r.Entries[0].Index - v.disk.Snapshot.Index - 1)
		v.disk.Entries = append(slices.Clone(v.disk.Entries[:keep]), r.Entries...)
	}
}

func (v *fakeVM) apply(e Entry) {
	c := v.c
	if e.Index != v.applied+1 {
		c.t.Fatalf("%s applies %d after %d", v.peer, e.Index, v.applied)
	}
	if int(e.Index) > len(c.log) {
		if len(c.log) > 0 && e.Time < c.log[len(c.log)-1].Time {
			c.t.Fatalf("the time of entry %d falls", e.Index)
		}
		c.log = append(c.log, e)
	}
	if known := c.log[e.Index-1]; known.Term != e.Term || !bytes.Equal(known.Data, e.Data) {
		c.t.Fatalf("%s applies another entry at %d", v.peer, e.Index)
	}
	v.applied++
	v.replayed++
	if e.Kind == EntryNormal {
		v.value = e.Data
	}
	if v.onApply != nil {
		v.onApply(v, e)
	}
}

func (v *fakeVM) compact() {
	if v.applied < v.disk.Snapshot.Index+20 {
		return
	}
	s, ok := v.node.SnapshotAt(v.applied, v.value)
	if !ok {
		return
	}
	v.disk.Entries = slices.Clone(v.disk.Entries[s.Index-v.disk.Snapshot.Index:])
	v.disk.Snapshot = s
	v.node.Compact(s)
}
