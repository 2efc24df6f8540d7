package tacklimit

const (
	// slabSize is the number of entries that are allocated together.
	slabSize = 64
	// minTableSize is the length of the smallest table.
	minTableSize = 64
)

// table is a hash table of entries by ID with a free list of entries.
//
// IDs are assigned in increasing order, so requests that arrive together are
// adjacent in the table and in memory. With a map, whose order is random, each
// of a hundred thousand cancellations costs nearly twice as much as each of a
// thousand, because of cache misses.
type table struct {
	// cells holds at each index a chain of the entries whose ID modulo the
	// length is that index. The length is a power of two.
	cells []*entry
	used  int
	free  *entry
}

// get returns the entry with the ID, or nil.
func (t *table) get(id uint64) *entry {
	if t.used == 0 {
		return nil
	}
	return *t.find(id)
}

// add returns a new entry for a request whose ID is not in the table.
func (t *table) add(r Request) *entry {
	if t.used >= len(t.cells) {
		t.grow()
	}
	if t.free == nil {
		t.refill()
	}
	e := t.free
	t.free = e.chain
	*e = entry{Request: r}
	*t.find(r.ID) = e
	t.used++
	return e
}

// remove deletes the entry and puts it on the free list.
func (t *table) remove(e *entry) {
	*t.find(e.ID) = e.chain
	t.used--
	*e = entry{chain: t.free}
	t.free = e
}

// find returns the link that points to the entry with the ID, or the nil link at
// the end of its chain.
func (t *table) find(id uint64) **entry {
	link := &t.cells[id&uint64(len(t.cells)-1)]
	for *link != nil && (*link).ID != id {
		link = &(*link).chain
	}
	return link
}

func (t *table) grow() {
	old := t.cells
	t.cells = make([]*entry, max(minTableSize, 2*len(old)))
	for _, e := range old {
		for e != nil {
			next := e.chain
			e.chain = nil
			*t.find(e.ID) = e
			e = next
		}
	}
}

func (t *table) refill() {
	entries := make([]entry, slabSize)
	for i := range entries[1:] {
		entries[i].chain = &entries[i+1]
	}
	t.free = &entries[0]
}
