// Package tackroom measures what work takes up on a worker, and what a worker
// or a workspace has.
package tackroom

// Room is an amount of each kind of resource.
type Room struct {
	// MilliCores are thousandths of a core.
	MilliCores int `cbor:"1,keyasint,omitempty"`
	MemoryMB   int `cbor:"2,keyasint,omitempty"`
	GPUs       int `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r has room for need.
func (r Room) Fits(need Room) bool {
	return need.MilliCores <= r.MilliCores && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}

// Plus returns r enlarged by o.
func (r Room) Plus(o Room) Room {
	return Room{MilliCores: r.MilliCores + o.MilliCores, MemoryMB: r.MemoryMB + o.MemoryMB, GPUs: r.GPUs + o.GPUs}
}

// Minus returns r reduced by o.
func (r Room) Minus(o Room) Room {
	return Room{MilliCores: r.MilliCores - o.MilliCores, MemoryMB: r.MemoryMB - o.MemoryMB, GPUs: r.GPUs - o.GPUs}
}

// Times returns r taken n times.
func (r Room) Times(n int) Room {
	return Room{MilliCores: n * r.MilliCores, MemoryMB: n * r.MemoryMB, GPUs: n * r.GPUs}
}

// Max returns the greater of both of each kind.
func (r Room) Max(o Room) Room {
	return Room{
		MilliCores: max(r.MilliCores, o.MilliCores), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPUs: max(r.GPUs, o.GPUs),
	}
}
