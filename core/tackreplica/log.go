package tackreplica

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// entryOverhead is the estimated encoded size of an entry in bytes, without its data.
const entryOverhead = 24

// entryLog is the part of the log that is held in memory: the entries after base. Entries
// up to base are compacted.
type entryLog struct {
	base     tackid.Revision
	baseTerm Term
	baseTime tackclock.Time
	entries  []Entry
	stable   tackid.Revision // the last entry that is durable
}

func (l *entryLog) last() tackid.Revision {
	return l.base + tackid.Revision(len(l.entries))
}

func (l *entryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

func (l *entryLog) lastTime() tackclock.Time {
	if len(l.entries) == 0 {
		return l.baseTime
	}
	return l.entries[len(l.entries)-1].Time
}

// term returns the term of the entry at i, and false if i is not held.
func (l *entryLog) term(i tackid.Revision) (Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.at(i).Term, true
}

func (l *entryLog) at(i tackid.Revision) *Entry {
	return &l.entries[i-l.base-1]
}

// between returns the entries after from up to and including to.
func (l *entryLog) between(from, to tackid.Revision) []Entry {
	if to <= from {
		return nil
	}
	return l.entries[from-l.base : to-l.base : to-l.base]
}

// batch returns the entries from next on that fit into limit bytes, at least one if any
// exists, and their size.
func (l *entryLog) batch(next tackid.Revision, limit int) ([]Entry, int) {
	size := 0
	end := next
	for end <= l.last() {
		size += len(l.at(end).Data) + entryOverhead
		if size > limit && end > next {
			size -= len(l.at(end).Data) + entryOverhead
			break
		}
		end++
	}
	return l.between(next-1, end-1), size
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
}

// truncate drops the entries after i.
func (l *entryLog) truncate(i tackid.Revision) {
	keep := int(i - l.base)
	l.entries = append([]Entry(nil), l.entries[:keep]...)
	l.stable = min(l.stable, i)
}

// compact drops the entries up to and including i.
func (l *entryLog) compact(i tackid.Revision) {
	if i <= l.base {
		return
	}
	e := *l.at(i)
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm, l.baseTime = i, e.Term, e.Time
}

// reset replaces the log by an empty one that starts after the snapshot s.
func (l *entryLog) reset(s *Snapshot) {
	*l = entryLog{base: s.Index, baseTerm: s.Term, baseTime: s.Time, stable: s.Index}
}

// upToDate reports whether a log that ends at index and term contains every entry that this
// log may have committed.
func (l *entryLog) upToDate(index tackid.Revision, term Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
