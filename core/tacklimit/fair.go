package tacklimit

type (
	// fairQueue orders the subqueues of one class by the number of slots that
	// each holds, fewest first, and round-robin among those that hold equally
	// many. The cost of an operation doesn't depend on the number of teams
	// that wait.
	fairQueue struct {
		// buckets holds at index n the subqueues that hold n slots.
		buckets []bucket
		length  int
	}

	// bucket is a linked list of subqueues.
	bucket struct {
		head, tail *subqueue
	}
)

// first returns the subqueue to serve next, or nil.
func (f *fairQueue) first() *subqueue {
	if f.length == 0 {
		return nil
	}
	for i := range f.buckets {
		if q := f.buckets[i].head; q != nil {
			return q
		}
	}
	return nil
}

func (f *fairQueue) add(q *subqueue) {
	for len(f.buckets) <= q.running {
		f.buckets = append(f.buckets, bucket{})
	}
	b := &f.buckets[q.running]
	q.prev = b.tail
	if b.tail == nil {
		b.head = q
	} else {
		b.tail.next = q
	}
	b.tail = q
	q.listed = true
	f.length++
}

func (f *fairQueue) remove(q *subqueue) {
	b := &f.buckets[q.running]
	if q.prev == nil {
		b.head = q.next
	} else {
		q.prev.next = q.next
	}
	if q.next == nil {
		b.tail = q.prev
	} else {
		q.next.prev = q.prev
	}
	q.prev, q.next = nil, nil
	q.listed = false
	f.length--
}
