// Package tackledger keeps the records that ensure that a request with an
// idempotency key runs at most once.
//
// A State is a state machine driven by the replicated log: every peer applies
// the same changes in the same order and holds the same records. The peer that
// receives a request proposes a Begin, and dispatches the request only after
// the applied change returned Claimed. Afterwards it proposes a Finish. If two
// peers race for a key, the one whose Begin is first in the log gets it. A
// record without a Finish becomes unknown and stays so: its request is never
// dispatched again.
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
	teamDivisor        = 2 // a team has at most Limits.Records/teamDivisor records
)

type (
	// Limits are the limits of a State. A zero field takes its default. They
	// must be the same on every peer, since the effect of Apply depends on
	// them.
	Limits struct {
		Age         tackclock.Duration // time after its Begin at which a record expires; default 24 h
		ReleasedAge tackclock.Duration // time for which releases are remembered; default 10 min
		Records     int                // maximum number of records; default 300,000
		Bytes       int                // maximum size of the headers and bodies of answers; default 32 MiB
	}

	// State holds the records. The zero value is empty and ready to use. It
	// is not safe for concurrent use.
	State struct {
		Limits Limits

		revision  tackid.Revision
		now       tackclock.Time
		records   map[digest]*record
		teams     map[tackid.Team]int
		instances map[tackid.Peer]InstanceID
		bytes     int
		begun     queue // all records, in the order of Begin
		released  queue // released records, in the order of release
		answered  queue // records with an answer, in the order of Finish
	}

	// digest is a truncated SHA-256 hash. Records hold digests instead of
	// names, which are several times as long, since every peer holds hundreds
	// of thousands of records.
	digest [16]byte

	// record is the record of one key. It is stored under the digest of its
	// ID.
	record struct {
		team        unique.Handle[tackid.Team]
		peer        unique.Handle[tackid.Peer]
		fingerprint digest
		request     digest
		instance    InstanceID
		begun       tackclock.Time
		until       tackclock.Time
		ended       tackclock.Time  // time of the outcome
		revision    tackid.Revision // of the change that last queued the record
		finished    tackid.Revision // of the change with the outcome
		outcome     Outcome         // zero while running
		answer      *Answer
	}

	// entry refers to a record from a queue. It is stale once the record has
	// another revision.
	entry struct {
		digest   digest
		revision tackid.Revision
		time     tackclock.Time
	}
)

// withDefaults returns the limits with zero fields replaced by the defaults.
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

// Apply applies the change at revision rev. Now is the time in the log entry,
// which must be the same on every peer. For a Begin it returns the claim, for a
// Finish the zero Claim.
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

// Lookup returns the claim that a Begin of the request would get now, without
// claiming the key; it is Claimed if the key is free. Only Recorded and
// Mismatch are final. Other results may have been changed by log entries that
// this peer has not applied yet.
func (s *State) Lookup(now tackclock.Time, id ID, print Fingerprint) Claim {
	r := s.records[id.digest()]
	if r == nil || r.outcome == OutcomeDidNotRun || s.expired(r, now) {
		return Claim{Kind: Claimed}
	}
	return s.verdict(r, print, max(now, s.now))
}

// Revision returns the revision of the last change applied.
func (s *State) Revision() tackid.Revision {
	return s.revision
}

// Len returns the number of records.
func (s *State) Len() int {
	return len(s.records)
}

// Bytes returns the total size of the recorded answers.
func (s *State) Bytes() int {
	return s.bytes
}

// advance advances the time of the state and drops the records that have expired.
// The clocks of leaders differ, so a later entry may have an earlier time. The
// time of the state then does not change, so that no expired record reappears.
func (s *State) advance(rev tackid.Revision, now tackclock.Time) {
	s.revision = rev
	s.now = max(s.now, now)
	if s.records == nil {
		s.records = make(map[digest]*record)
		s.teams = make(map[tackid.Team]int)
		s.instances = make(map[tackid.Peer]InstanceID)
	}
	limits := s.Limits.withDefaults()
	s.drop(&s.begun, limits.Age)
	s.drop(&s.released, limits.ReleasedAge)
}

// drop removes the records at the head of the queue that have reached the age.
func (s *State) drop(q *queue, age tackclock.Duration) {
	for {
		e, ok := q.head()
		if !ok || s.now.Sub(e.time) < age {
			return
		}
		q.pop()
		if r := s.records[e.digest]; r != nil && r.revision == e.revision {
			s.remove(e.digest, r)
		}
	}
}

func (s *State) remove(d digest, r *record) {
	s.forgetAnswer(r)
	team := r.team.Value()
	s.teams[team]--
	if s.teams[team] == 0 {
		delete(s.teams, team)
	}
	delete(s.records, d)
}

func (s *State) forgetAnswer(r *record) {
	if r.answer != nil {
		s.bytes -= r.answer.size()
		r.answer = nil
	}
}

// begin decides on a claim.
func (s *State) begin(b *Begin) Claim {
	// A restarted peer will never finish what its earlier process began. The
	// new instance makes those records unknown at once. Otherwise repeats of a key
	// would get Running long after the process died.
	s.instances[b.Peer] = b.Instance
	d := b.ID.digest()
	r := s.records[d]
	if r == nil {
		return s.claim(d, b)
	}
	if r.request == digestOf(string(b.Request)) {
		return Claim{Kind: s.repeated(r)}
	}
	if r.outcome != OutcomeDidNotRun {
		return s.verdict(r, b.Fingerprint, s.now)
	}
	s.remove(d, r)
	return s.claim(d, b)
}

// repeated decides on a Begin that is in the log twice, because the answer to the
// proposal was lost and the peer proposed it again.
func (s *State) repeated(r *record) ClaimKind {
	switch {
	case r.outcome == OutcomeDidNotRun:
		return Released
	case s.running(r, s.now):
		return Claimed
	}
	return Unknown
}

// claim adds a new record if the limits allow it.
func (s *State) claim(d digest, b *Begin) Claim {
	// A key that is forgotten early could run a second time when the request
	// is repeated. So a full ledger refuses new keys instead, and no team can
	// fill it alone.
	limits := s.Limits.withDefaults()
	if len(s.records) >= limits.Records || s.teams[b.ID.Team] >= max(1, limits.Records/teamDivisor) {
		return Claim{Kind: Full}
	}
	r := &record{
		team:        unique.Make(b.ID.Team),
		peer:        unique.Make(b.Peer),
		fingerprint: digest(b.Fingerprint[:]),
		request:     digestOf(string(b.Request)),
		instance:    b.Instance,
		begun:       s.now,
		until:       s.now.Add(min(b.Timeout, limits.Age)),
	}
	s.insert(d, r)
	s.begun.push(entry{d, r.revision, s.now})
	return Claim{Kind: Claimed}
}

func (s *State) insert(d digest, r *record) {
	r.revision = s.revision
	s.records[d] = r
	s.teams[r.team.Value()]++
}

// verdict returns the claim of another request with the key of the record.
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

// running reports whether the dispatch of the record may still be in progress.
func (s *State) running(r *record, now tackclock.Time) bool {
	return r.outcome == 0 && s.instances[r.peer.Value()] == r.instance && !now.After(r.until)
}

func (s *State) expired(r *record, now tackclock.Time) bool {
	return now.Sub(r.begun) >= s.Limits.withDefaults().Age
}

// finish records the outcome of a dispatch.
func (s *State) finish(f *Finish) {
	d := f.ID.digest()
	r := s.records[d]
	switch {
	case r == nil && f.Outcome == OutcomeDidNotRun:
		s.releaseAhead(d, f)
	case r == nil || r.request != digestOf(string(f.Request)) || r.outcome == OutcomeAnswered:
	case f.Outcome == OutcomeDidNotRun:
		s.release(d, r)
	case f.Outcome == OutcomeAnswered:
		s.answer(d, r, f.Answer)
	default:
		s.setOutcome(r, OutcomeUnknown)
	}
}

func (s *State) setOutcome(r *record, o Outcome) {
	r.outcome, r.ended, r.finished = o, s.now, s.revision
}

// release frees the record's key.
func (s *State) release(d digest, r *record) {
	s.setOutcome(r, OutcomeDidNotRun)
	r.revision = s.revision
	s.released.push(entry{d, r.revision, s.now})
}

// releaseAhead records the release of a claim that has not been applied. A peer
// that stops waiting for a proposal can't know whether it was lost or is late. If
// a late Begin were recorded, no peer would ever finish it and the key would stay
// unknown, although its caller got did_not_run.
func (s *State) releaseAhead(d digest, f *Finish) {
	r := &record{
		team:    unique.Make(f.ID.Team),
		peer:    unique.Make(tackid.Peer("")),
		request: digestOf(string(f.Request)),
		begun:   s.now,
	}
	s.insert(d, r)
	s.release(d, r)
}

// answer records the answer, and drops the oldest answers beyond the limit.
func (s *State) answer(d digest, r *record, a Answer) {
	s.setOutcome(r, OutcomeAnswered)
	r.answer = &a
	s.bytes += a.size()
	s.answered.push(entry{d, r.revision, s.now})
	for limit := s.Limits.withDefaults().Bytes; s.bytes > limit; {
		e, ok := s.answered.head()
		if !ok {
			return
		}
		s.answered.pop()
		if old := s.records[e.digest]; old != nil && old.revision == e.revision {
			s.forgetAnswer(old)
		}
	}
}

// digest returns the digest under which the record of id is stored.
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
