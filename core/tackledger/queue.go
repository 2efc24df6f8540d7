package tackledger

// queue is a first-in first-out queue of entries. Its zero value is empty.
type queue struct {
	entries []entry
	first   int
}

func (q *queue) push(e entry) {
	// Popped entries are removed once they are half of the slice, so that the
	// amortized cost of moving the rest is constant.
	if q.first > len(q.entries)/2 {
		q.entries = append(q.entries[:0], q.entries[q.first:]...)
		q.first = 0
	}
	q.entries = append(q.entries, e)
}

func (q *queue) head() (entry, bool) {
	if q.first == len(q.entries) {
		return entry{}, false
	}
	return q.entries[q.first], true
}

func (q *queue) pop() {
	q.first++
}
