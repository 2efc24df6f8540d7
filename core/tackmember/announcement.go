package tackmember

import (
	"encoding/json"
	"fmt"

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
