package tackmember

// CaughtUp reports whether this peer knows what the others do: at least one of
// them has told it what there is, and all of that has come. A peer that has
// just started and takes callers' requests before that would refuse them for
// want of backend servers that every other peer knows.
func (d *Directory) CaughtUp() bool {
	if len(d.order) == 0 {
		return true
	}
	if len(d.wanted) > 0 {
		return false
	}
	for _, l := range d.peers {
		if l.beat > 0 {
			return true
		}
	}
	return false
}
