package tacklimit

const (
	// slab is how many entries are allocated together.
	slab = 64
	// leastTable is the length of the smallest table.
	leastTable = 64
)

// table finds entries by ID and hands out free ones.
//
// IDs are counted up, so requests that arrive together lie together in the
// table and in memory. With a map, whose order is random, a hundred thousand
// cancellations cost nearly twice as much each as a thousand do, since every
// one waits for memory.
type table struct {
	// cells holds chains of the entries whose ID modulo the length is the
	// same. The length is a power of two.
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

// add returns a new entry for a request whose ID is not there.
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

// remove takes the entry out and keeps it for another request.
func (t *table) remove(e *entry) {
	*t.find(e.ID) = e.chain
	t.used--
	*e = entry{chain: t.free}
	t.free = e
}

// find returns where the entry with the ID hangs, or the end of its chain.
func (t *table) find(id uint64) **entry {
	at := &t.cells[id&uint64(len(t.cells)-1)]
	for *at != nil && (*at).ID != id {
		at = &(*at).chain
	}
	return at
}

func (t *table) grow() {
	old := t.cells
	t.cells = make([]*entry, max(leastTable, 2*len(old)))
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
	entries := make([]entry, slab)
	for i := range entries[1:] {
		entries[i].chain = &entries[i+1]
	}
	t.free = &entries[0]
}
