// Package tackroom represents amounts of resources: what work uses on a worker, and what
// a worker or a workspace has.
package tackroom

import "fmt"

// Room is an amount of each kind of resource.
type Room struct {
	// MilliCores are thousandths of a core.
	MilliCores int `cbor:"1,keyasint,omitempty"`
	MemoryMB   int `cbor:"2,keyasint,omitempty"`
	GPUs       int `cbor:"3,keyasint,omitempty"`
}

// String formats the amounts as cores, gigabytes and GPUs, for logs.
func (r Room) String() string {
	return fmt.Sprintf("%.1f cores, %.1f GB, %d GPUs", float64(r.MilliCores)/1000, float64(r.MemoryMB)/1024, r.GPUs)
}

// Fits reports whether need fits in r.
func (r Room) Fits(need Room) bool {
	return need.MilliCores <= r.MilliCores && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}

// Plus returns r + o.
func (r Room) Plus(o Room) Room {
	return Room{MilliCores: r.MilliCores + o.MilliCores, MemoryMB: r.MemoryMB + o.MemoryMB, GPUs: r.GPUs + o.GPUs}
}

// Minus returns r - o.
func (r Room) Minus(o Room) Room {
	return Room{MilliCores: r.MilliCores - o.MilliCores, MemoryMB: r.MemoryMB - o.MemoryMB, GPUs: r.GPUs - o.GPUs}
}

// Times returns r multiplied by n.
func (r Room) Times(n int) Room {
	return Room{MilliCores: n * r.MilliCores, MemoryMB: n * r.MemoryMB, GPUs: n * r.GPUs}
}

// Max returns the greater amount of each resource.
func (r Room) Max(o Room) Room {
	return Room{
		MilliCores: max(r.MilliCores, o.MilliCores), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPUs: max(r.GPUs, o.GPUs),
	}
}

// Min returns the lesser amount of each resource.
func (r Room) Min(o Room) Room {
	return Room{
		MilliCores: min(r.MilliCores, o.MilliCores), MemoryMB: min(r.MemoryMB, o.MemoryMB), GPUs: min(r.GPUs, o.GPUs),
	}
}

// Within returns r with each amount reduced to that of limit where it exceeds it; an
// amount of zero in limit means no limit.
func (r Room) Within(limit Room) Room {
	part := func(n, limit int) int {
		if limit == 0 {
			return n
		}
		return min(n, limit)
	}
	return Room{
		MilliCores: part(r.MilliCores, limit.MilliCores), MemoryMB: part(r.MemoryMB, limit.MemoryMB), GPUs: part(r.GPUs, limit.GPUs),
	}
}

// Over returns r divided by n.
func (r Room) Over(n int) Room {
	return Room{MilliCores: r.MilliCores / n, MemoryMB: r.MemoryMB / n, GPUs: r.GPUs / n}
}

// Bounds reports whether need is within the limit r, in which an amount of zero means no
// limit.
func (r Room) Bounds(need Room) bool {
	within := func(need, limit int) bool { return limit == 0 || need <= limit }
	return within(need.MilliCores, r.MilliCores) && within(need.MemoryMB, r.MemoryMB) && within(need.GPUs, r.GPUs)
}
