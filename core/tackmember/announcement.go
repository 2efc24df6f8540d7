package tackmember

import (
	"encoding/json"
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// StateServing is the state of a backend server or worker that accepts work.
	StateServing State = "serving"
	// StateLeaving is the state of one that accepts no new work. It is final for the
	// incarnation.
	StateLeaving State = "leaving"
)

type (
	// State is the state that a sender announces.
	State string

	// BackendServer is the announcement of a backend server. Address is an IP address with
	// a port; Slots is how many requests it runs concurrently, and Connections is how many
	// connections it keeps open.
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

	// Worker is the announcement of a worker, which has the same name as its VM.
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

	// Announcement has exactly one field set. Its JSON form is that of the field; the JSON
	// member worker distinguishes the two.
	Announcement struct {
		BackendServer *BackendServer `cbor:"1,keyasint,omitempty"`
		Worker        *Worker        `cbor:"2,keyasint,omitempty"`
	}

	// Reply is the response to an announcement. Accepted is false if a newer announcement
	// was already accepted. The sender is considered lost unless it announces itself again
	// within NextWithin, with tolerance for one missed announcement.
	Reply struct {
		Accepted   bool
		NextWithin tackclock.Duration
	}

	// FieldError reports an invalid field of an announcement.
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
