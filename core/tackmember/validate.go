package tackmember

import (
	"fmt"
	"net/netip"
	"unicode"
	"unicode/utf8"
)

const (
	maxName        = 128
	maxSlots       = 10_000
	maxConnections = 100_000
	maxCores       = 4_096
	maxMemoryMB    = 64 << 20
	maxAccelerator = 1_024
)

// Validate returns a *FieldError for the first invalid field.
func (a Announcement) Validate() error {
	switch {
	case a.BackendServer != nil && a.Worker == nil:
		return a.BackendServer.validate()
	case a.Worker != nil && a.BackendServer == nil:
		return a.Worker.validate()
	}
	return &FieldError{Field: "backend_server", Problem: "want either a backend server or a worker"}
}

func (b *BackendServer) validate() error {
	return firstError(
		checkName("backend_server", string(b.ID), true),
		checkName("vm", string(b.VM), true),
		checkName("service", string(b.Service), true),
		checkName("data_centre", string(b.DataCentre), true),
		checkName("rack", string(b.Rack), false),
		checkAddress(b.Address),
		checkRange("slots", b.Slots, 1, maxSlots),
		checkRange("connections", b.Connections, 1, maxConnections),
		checkState(b.State),
	)
}

func (w *Worker) validate() error {
	return firstError(
		checkName("worker", string(w.ID), true),
		checkName("data_centre", string(w.DataCentre), true),
		checkName("rack", string(w.Rack), false),
		checkRange("cores", w.Cores, 1, maxCores),
		checkRange("memory_mb", w.MemoryMB, 1, maxMemoryMB),
		checkRange("accelerators", w.Accelerators, 0, maxAccelerator),
		checkState(w.State),
	)
}

// firstError returns the first non-nil error of errs, or a nil error.
func firstError(errs ...*FieldError) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkName rejects names that would corrupt a table, a log line or a header, and names so
// long that a faulty sender could saturate the links with them.
func checkName(field, name string, required bool) *FieldError {
	switch {
	case name == "" && required:
		return &FieldError{Field: field, Problem: "is empty"}
	case len(name) > maxName:
		return &FieldError{Field: field, Problem: fmt.Sprintf("has %d bytes, at most %d are allowed", len(name), maxName)}
	case !utf8.ValidString(name):
		return &FieldError{Field: field, Problem: "is not UTF-8"}
	}
	for _, r := range name {
		if unicode.IsControl(r) || !unicode.IsPrint(r) {
			return &FieldError{Field: field, Problem: "holds a character that cannot be printed"}
		}
	}
	return nil
}

func checkAddress(address string) *FieldError {
	to, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return &FieldError{Field: "address", Problem: "want an IP number with a port, as in 192.0.2.7:9003"}
	case to.Port() == 0:
		return &FieldError{Field: "address", Problem: "port is 0"}
	case to.Addr().IsUnspecified() || to.Addr().IsMulticast():
		return &FieldError{Field: "address", Problem: "is not the address of one machine"}
	}
	return nil
}

func checkRange(field string, n, low, high int) *FieldError {
	if n < low || n > high {
		return &FieldError{Field: field, Problem: fmt.Sprintf("is %d, want %d to %d", n, low, high)}
	}
	return nil
}

func checkState(s State) *FieldError {
	if s != StateServing && s != StateLeaving {
		return &FieldError{Field: "state", Problem: fmt.Sprintf("is %.20q, want serving or leaving", string(s))}
	}
	return nil
}
