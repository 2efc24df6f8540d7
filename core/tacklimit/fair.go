package tacklimit

type (
	// fairQueue orders the lanes of one class so that the team with the
	// fewest slots goes first, and teams with equally many take turns. Every
	// step takes constant time, however many teams wait.
	fairQueue struct {
		// buckets holds at index n the lanes that hold n slots.
		buckets []bucket
		lanes   int
	}

	// bucket is a queue of lanes.
	bucket struct {
		head, tail *lane
	}
)

// first returns the lane that is next, or nil.
func (f *fairQueue) first() *lane {
	if f.lanes == 0 {
		return nil
	}
	for i := range f.buckets {
		if l := f.buckets[i].head; l != nil {
			return l
		}
	}
	return nil
}

func (f *fairQueue) add(l *lane) {
	for len(f.buckets) <= l.running {
		f.buckets = append(f.buckets, bucket{})
	}
	b := &f.buckets[l.running]
	l.prev = b.tail
	if b.tail == nil {
		b.head = l
	} else {
		b.tail.next = l
	}
	b.tail = l
	l.listed = true
	f.lanes++
}

func (f *fairQueue) remove(l *lane) {
	b := &f.buckets[l.running]
	if l.prev == nil {
		b.head = l.next
	} else {
		l.prev.next = l.next
	}
	if l.next == nil {
		b.tail = l.prev
	} else {
		l.next.prev = l.prev
	}
	l.prev, l.next = nil, nil
	l.listed = false
	f.lanes--
}
