package tackintake

// holderHeap has the unfinished request that holds the most bytes at its top.
type holderHeap []*Holder

// Len implements sort.Interface.
func (q holderHeap) Len() int { return len(q) }

// Less implements sort.Interface. Of two requests that hold the same the older one goes first.
func (q holderHeap) Less(i, j int) bool {
	if q[i].bytes != q[j].bytes {
		return q[i].bytes > q[j].bytes
	}
	return q[i].since.Before(q[j].since)
}

// Swap implements sort.Interface.
func (q holderHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].rank, q[j].rank = i+1, j+1
}

// Push implements heap.Interface.
func (q *holderHeap) Push(x any) {
	h := x.(*Holder)
	*q = append(*q, h)
	h.rank = len(*q)
}

// Pop implements heap.Interface.
func (q *holderHeap) Pop() any {
	old := *q
	h := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	h.rank = 0
	return h
}
