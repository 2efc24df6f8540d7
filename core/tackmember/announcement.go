package tackmember

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"unicode"
	"unicode/utf8"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// StateServing is what a backend server or worker that takes work says.
	StateServing State = "serving"
	// StateLeaving is what one that takes no new work says. It is final for
	// the incarnation.
	StateLeaving State = "leaving"
)

const (
	maxName        = 128
	maxSlots       = 10_000
	maxConnections = 100_000
	maxCores       = 4_096
	maxMemoryMB    = 64 << 20
	maxAccelerator = 1_024
)

type (
	// State is what an announcement says of its sender.
	State string

	// BackendServer is the announcement of one backend server. Address is an
	// IP number with a port; Slots is how many requests it runs at once and
	// Connections how many it keeps open.
	BackendServer struct {
		ID          tackid.BackendServer `json:"backend_server" cbor:"1,keyasint"`
		VM          tackid.VM            `json:"vm" cbor:"2,keyasint"`
		Service     tackid.Service       `json:"service" cbor:"3,keyasint"`
		DataCentre  tackid.DataCentre    `json:"data_centre" cbor:"4,keyasint"`
		Rack        tackid.Rack          `json:"rack" cbor:"5,keyasint,omitempty"`
		Address     string               `json:"address" cbor:"6,keyasint"`
		Slots       int                  `json:"slots" cbor:"7,keyasint"`
		Connections int                  `json:"connections" cbor:"8,keyasint"`
		Incarnation tackid.Incarnation   `json:"incarnation" cbor:"9,keyasint"`
		State       State                `json:"state" cbor:"10,keyasint"`
	}

	// Worker is the announcement of one worker, whose name is its VM's.
	Worker struct {
		ID           tackid.VM          `json:"worker" cbor:"1,keyasint"`
		DataCentre   tackid.DataCentre  `json:"data_centre" cbor:"2,keyasint"`
		Rack         tackid.Rack        `json:"rack" cbor:"3,keyasint,omitempty"`
		Cores        int                `json:"cores" cbor:"4,keyasint"`
		MemoryMB     int                `json:"memory_mb" cbor:"5,keyasint"`
		Accelerators int                `json:"accelerators,omitempty" cbor:"6,keyasint,omitempty"`
		Incarnation  tackid.Incarnation `json:"incarnation" cbor:"7,keyasint"`
		State        State              `json:"state" cbor:"8,keyasint"`
	}

	// Announcement is exactly one of its fields. Its JSON form is that of the
	// field that is set; the member worker tells the two apart.
	Announcement struct {
		BackendServer *BackendServer `cbor:"1,keyasint,omitempty"`
		Worker        *Worker        `cbor:"2,keyasint,omitempty"`
	}

	// Reply is the answer to an announcement. Accepted is false for one that
	// a newer one has overtaken. The sender is taken as lost when it does not
	// come again within NextWithin, give or take a missed one.
	Reply struct {
		Accepted   bool
		NextWithin tackclock.Duration
	}

	// FieldError reports a field of an announcement that cannot be right.
	FieldError struct {
		Field   string
		Problem string
	}
)

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("tackmember: %s: %s", e.Field, e.Problem)
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *Announcement) UnmarshalJSON(data []byte) error {
	var kind struct {
		Worker *json.RawMessage `json:"worker"`
	}
	if err := json.Unmarshal(data, &kind); err != nil {
		return err
	}
	*a = Announcement{}
	if kind.Worker != nil {
		a.Worker = new(Worker)
		return json.Unmarshal(data, a.Worker)
	}
	a.BackendServer = new(BackendServer)
	return json.Unmarshal(data, a.BackendServer)
}

// MarshalJSON implements json.Marshaler.
func (a Announcement) MarshalJSON() ([]byte, error) {
	if a.Worker != nil {
		return json.Marshal(a.Worker)
	}
	return json.Marshal(a.BackendServer)
}

// Validate returns a *FieldError for the first field that cannot be right.
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

// firstError returns the first of errs that is not nil, as an error that is
// nil when none is.
func firstError(errs ...*FieldError) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkName refuses names that would break a table, a log line or a header,
// and names so long that a broken sender could fill the links with them.
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
