// Package tackroom represents amounts of resources: what work uses on a worker, and what
// a worker or a workspace has.
package tackroom

import "fmt"

// Resources is an amount of each kind of resource.
type Resources struct {
	// MilliCores is the processor capacity in millicores; 1000 are one core.
	MilliCores int `cbor:"1,keyasint,omitempty"`
	MemoryMB   int `cbor:"2,keyasint,omitempty"`
	GPUs       int `cbor:"3,keyasint,omitempty"`
}

// String formats the amounts as cores, gigabytes and GPUs, for logs.
func (r Resources) String() string {
	return fmt.Sprintf("%.1f cores, %.1f GB, %d GPUs", float64(r.MilliCores)/1000, float64(r.MemoryMB)/1024, r.GPUs)
}

// Fits reports whether need fits in r.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCores <= r.MilliCores && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{MilliCores: r.MilliCores + o.MilliCores, MemoryMB: r.MemoryMB + o.MemoryMB, GPUs: r.GPUs + o.GPUs}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{MilliCores: r.MilliCores - o.MilliCores, MemoryMB: r.MemoryMB - o.MemoryMB, GPUs: r.GPUs - o.GPUs}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{MilliCores: n * r.MilliCores, MemoryMB: n * r.MemoryMB, GPUs: n * r.GPUs}
}

// Max returns the greater amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCores: max(r.MilliCores, o.MilliCores), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPUs: max(r.GPUs, o.GPUs),
	}
}

// Min returns the lesser amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		MilliCores: min(r.MilliCores, o.MilliCores), MemoryMB: min(r.MemoryMB, o.MemoryMB), GPUs: min(r.GPUs, o.GPUs),
	}
}

// CappedBy returns r with each amount reduced to that of limit where it exceeds it; an
// amount of zero in limit means no limit.
func (r Resources) CappedBy(limit Resources) Resources {
	part := func(n, limit int) int {
		if limit == 0 {
			return n
		}
		return min(n, limit)
	}
	return Resources{
		MilliCores: part(r.MilliCores, limit.MilliCores), MemoryMB: part(r.MemoryMB, limit.MemoryMB), GPUs: part(r.GPUs, limit.GPUs),
	}
}

// DividedBy returns r divided by n.
func (r Resources) DividedBy(n int) Resources {
	return Resources{MilliCores: r.MilliCores / n, MemoryMB: r.MemoryMB / n, GPUs: r.GPUs / n}
}

// Allows reports whether need is within the limit r, in which an amount of zero means no
// limit.
func (r Resources) Allows(need Resources) bool {
	within := func(need, limit int) bool { return limit == 0 || need <= limit }
	return within(need.MilliCores, r.MilliCores) && within(need.MemoryMB, r.MemoryMB) && within(need.GPUs, r.GPUs)
}
