// Package tackledger keeps the records that make a request with an
// idempotency key run at most once.
//
// A State is driven by the replicated log: every peer applies the same
// changes in the same order and holds the same records. The peer that takes a
// request proposes a Begin and dispatches only once the applied change
// returned Mine; afterwards it proposes a Finish. Of two peers that race for a
// key, the log puts one first. A record that was begun and never finished
// counts as unknown, and stays so: its work is never dispatched again.
package tackledger

import (
	"crypto/sha256"
	"encoding/binary"
	"unique"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	defaultAge         = tackclock.Day
	defaultReleasedAge = 10 * tackclock.Minute
	defaultRecords     = 300_000
	defaultBytes       = 32 << 20
	teamShare          = 2 // a team holds at most one in teamShare of the records
)

type (
	// Limits bounds a State. The zero value takes the defaults. They must be
	// the same on every peer, since they decide what Apply does.
	Limits struct {
		Age         tackclock.Duration // records end this long after their Begin; 24 h
		ReleasedAge tackclock.Duration // releases are remembered this long; 10 min
		Records     int                // records held at most; 300,000
		Bytes       int                // headers and bodies of answers held at most; 32 MiB
	}

	// State holds the records. The zero value is empty and ready to use. It
	// is not safe for concurrent use.
	State struct {
		Limits Limits

		revision tackid.Revision
		now      tackclock.Time
		records  map[digest]*record
		teams    map[tackid.Team]int
		lives    map[tackid.Peer]Life
		bytes    int
		begun    queue // every record, by its Begin
		released queue // records that were released, by their release
		answered queue // records that hold an answer, by their Finish
	}

	// digest is the beginning of a SHA-256. Records hold digests in place of
	// names, which are several times as long; there are hundreds of thousands
	// of records, on every peer.
	digest [16]byte

	// record is what is known about one key. It stands under the digest of
	// its ID.
	record struct {
		team        unique.Handle[tackid.Team]
		peer        unique.Handle[tackid.Peer]
		fingerprint digest
		request     digest
		life        Life
		begun       tackclock.Time
		until       tackclock.Time
		ended       tackclock.Time  // when the outcome came
		revision    tackid.Revision // of the change that last queued the record
		finished    tackid.Revision // of the change that brought the outcome
		outcome     Outcome         // zero while running
		answer      *Answer
	}

	// entry is a record's place in a queue. It is void once the record has
	// another revision.
	entry struct {
		at       digest
		revision tackid.Revision
		time     tackclock.Time
	}
)

// withDefaults returns the limits with the zero fields filled in.
func (l Limits) withDefaults() Limits {
	if l.Age <= 0 {
		l.Age = defaultAge
	}
	if l.ReleasedAge <= 0 {
		l.ReleasedAge = defaultReleasedAge
	}
	if l.Records <= 0 {
		l.Records = defaultRecords
	}
	if l.Bytes <= 0 {
		l.Bytes = defaultBytes
	}
	return l
}

// Apply carries out the change at revision rev. Now is the time that the log
// entry carries; it must be the same on every peer. For a Begin it returns the
// verdict; for a Finish the zero Claim.
func (s *State) Apply(rev tackid.Revision, now tackclock.Time, c Change) Claim {
	s.advance(rev, now)
	switch {
	case c.Begin != nil:
		return s.begin(c.Begin)
	case c.Finish != nil:
		s.finish(c.Finish)
	}
	return Claim{}
}

// Lookup returns what a Begin of this request would be told now, without
// claiming anything, and Mine where the key is free. Only Recorded and
// Mismatch are final: the other verdicts may have changed in entries of the
// log that this peer has not applied yet.
func (s *State) Lookup(now tackclock.Time, id ID, print Fingerprint) Claim {
	r := s.records[id.digest()]
	if r == nil || r.outcome == OutcomeDidNotRun || s.ended(r, now) {
		return Claim{Kind: Mine}
	}
	return s.verdict(r, print, max(now, s.now))
}

// Revision returns the revision of the last change applied.
func (s *State) Revision() tackid.Revision {
	return s.revision
}

// Len returns the number of records held.
func (s *State) Len() int {
	return len(s.records)
}

// Bytes returns the size of the answers held.
func (s *State) Bytes() int {
	return s.bytes
}

// advance moves the state's time forward and drops what has ended by then.
// Leaders' clocks differ, so the time of a later entry may be earlier; time
// then stands still, lest a record that has ended come back.
func (s *State) advance(rev tackid.Revision, now tackclock.Time) {
	s.revision = rev
	s.now = max(s.now, now)
	if s.records == nil {
		s.records = make(map[digest]*record)
		s.teams = make(map[tackid.Team]int)
		s.lives = make(map[tackid.Peer]Life)
	}
	limits := s.Limits.withDefaults()
	s.drop(&s.begun, limits.Age)
	s.drop(&s.released, limits.ReleasedAge)
}

// drop removes the records at the queue's head that are older than age.
func (s *State) drop(q *queue, age tackclock.Duration) {
	for {
		e, ok := q.head()
		if !ok || s.now.Sub(e.time) < age {
			return
		}
		q.pop()
		if r := s.records[e.at]; r != nil && r.revision == e.revision {
			s.remove(e.at, r)
		}
	}
}

func (s *State) remove(at digest, r *record) {
	s.forgetAnswer(r)
	team := r.team.Value()
	s.teams[team]--
	if s.teams[team] == 0 {
		delete(s.teams, team)
	}
	delete(s.records, at)
}

func (s *State) forgetAnswer(r *record) {
	if r.answer != nil {
		s.bytes -= r.answer.size()
		r.answer = nil
	}
}

// begin decides on a claim.
func (s *State) begin(b *Begin) Claim {
	// A peer that comes back with another life will never finish what its
	// earlier life began. Seen as: repeats of a key are told "running" long
	// after the peer died. The life makes them unknown at once.
	s.lives[b.Peer] = b.Life
	at := b.ID.digest()
	r := s.records[at]
	if r == nil {
		return s.claim(at, b)
	}
	if r.request == digestOf(string(b.Request)) {
		return Claim{Kind: s.repeated(r)}
	}
	if r.outcome != OutcomeDidNotRun {
		return s.verdict(r, b.Fingerprint, s.now)
	}
	s.remove(at, r)
	return s.claim(at, b)
}

// repeated decides on a Begin that the log carries twice, because the answer
// to its proposal was lost and the peer proposed it again.
func (s *State) repeated(r *record) ClaimKind {
	switch {
	case r.outcome == OutcomeDidNotRun:
		return Released
	case s.running(r, s.now):
		return Mine
	}
	return Unknown
}

// claim makes a new record where the limits allow one.
func (s *State) claim(at digest, b *Begin) Claim {
	// Forgetting a key early would let a repeat run a second time. So a full
	// ledger refuses new keys, and one team can't fill it for all the others.
	limits := s.Limits.withDefaults()
	if len(s.records) >= limits.Records || s.teams[b.ID.Team] >= max(1, limits.Records/teamShare) {
		return Claim{Kind: Full}
	}
	r := &record{
		team:        unique.Make(b.ID.Team),
		peer:        unique.Make(b.Peer),
		fingerprint: digest(b.Fingerprint[:]),
		request:     digestOf(string(b.Request)),
		life:        b.Life,
		begun:       s.now,
		until:       s.now.Add(min(b.Within, limits.Age)),
	}
	s.insert(at, r)
	s.begun.push(entry{at, r.revision, s.now})
	return Claim{Kind: Mine}
}

func (s *State) insert(at digest, r *record) {
	r.revision = s.revision
	s.records[at] = r
	s.teams[r.team.Value()]++
}

// verdict tells another request what stands under its key.
func (s *State) verdict(r *record, print Fingerprint, now tackclock.Time) Claim {
	switch {
	case r.fingerprint != digest(print[:]):
		return Claim{Kind: Mismatch}
	case r.outcome == OutcomeAnswered && r.answer != nil:
		return Claim{Kind: Recorded, Answer: *r.answer}
	case r.outcome == OutcomeAnswered:
		return Claim{Kind: Recorded, Answer: Answer{Truncated: true}}
	case s.running(r, now):
		return Claim{Kind: Running}
	}
	return Claim{Kind: Unknown}
}

// running reports whether the record's dispatch may still be going on.
func (s *State) running(r *record, now tackclock.Time) bool {
	return r.outcome == 0 && s.lives[r.peer.Value()] == r.life && !now.After(r.until)
}

func (s *State) ended(r *record, now tackclock.Time) bool {
	return now.Sub(r.begun) >= s.Limits.withDefaults().Age
}

// finish notes the outcome of a dispatch.
func (s *State) finish(f *Finish) {
	at := f.ID.digest()
	r := s.records[at]
	switch {
	case r == nil && f.Outcome == OutcomeDidNotRun:
		s.releaseAhead(at, f)
	case r == nil || r.request != digestOf(string(f.Request)) || r.outcome == OutcomeAnswered:
	case f.Outcome == OutcomeDidNotRun:
		s.release(at, r)
	case f.Outcome == OutcomeAnswered:
		s.answer(at, r, f.Answer)
	default:
		s.end(r, OutcomeUnknown)
	}
}

func (s *State) end(r *record, o Outcome) {
	r.outcome, r.ended, r.finished = o, s.now, s.revision
}

// release frees the record's key.
func (s *State) release(at digest, r *record) {
	s.end(r, OutcomeDidNotRun)
	r.revision = s.revision
	s.released.push(entry{at, r.revision, s.now})
}

// releaseAhead remembers the release of a claim that has not been applied. A
// peer that gives up on a proposal can't know whether it was lost or is only
// late. If a late Begin were recorded, nobody would ever finish it and the key
// would be stuck at unknown, though its caller was told did_not_run.
func (s *State) releaseAhead(at digest, f *Finish) {
	r := &record{
		team:    unique.Make(f.ID.Team),
		peer:    unique.Make(tackid.Peer("")),
		request: digestOf(string(f.Request)),
		begun:   s.now,
	}
	s.insert(at, r)
	s.release(at, r)
}

// answer keeps the answer, and gives up the oldest ones beyond the limit.
func (s *State) answer(at digest, r *record, a Answer) {
	s.end(r, OutcomeAnswered)
	r.answer = &a
	s.bytes += a.size()
	s.answered.push(entry{at, r.revision, s.now})
	for limit := s.Limits.withDefaults().Bytes; s.bytes > limit; {
		e, ok := s.answered.head()
		if !ok {
			return
		}
		s.answered.pop()
		if old := s.records[e.at]; old != nil && old.revision == e.revision {
			s.forgetAnswer(old)
		}
	}
}

// digest returns where the record of id stands.
func (id ID) digest() digest {
	buf := make([]byte, 0, 128)
	for _, part := range [...]string{string(id.Service), string(id.Team), string(id.Key)} {
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	return digestOf(string(buf))
}

func digestOf(text string) digest {
	sum := sha256.Sum256([]byte(text))
	return digest(sum[:])
}
