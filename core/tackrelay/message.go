// Package tackrelay has control VMs that do not lead take workers' heartbeats and pass
// them on to the one that does.
//
// Load pattern: thousands of workers, each of which sends heartbeats several times a
// second on a connection of its own. All on the leader, they take its files, its memory
// and its processor, and after its loss they look for the next one in the same instant.
// Through relays the leader has a few connections, on which many reports come at a time,
// and workers need not know who leads.
//
// A relay decides nothing. The leader counts a lease from when a report reaches it, which
// is after the worker has sent it, so leases stay right however long a report is under way.
package tackrelay

import (
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
)

type (
	// Reports is what a relay sends to the leader: reports of workers, or none to say that
	// it can take some.
	Reports struct {
		// DataCentre is the relay's.
		DataCentre tackid.DataCentre `cbor:"1,keyasint"`
		List       []Numbered        `cbor:"2,keyasint,omitempty"`
		// On says that it passes reports on, by the word of the last leader.
		On bool `cbor:"3,keyasint,omitempty"`
	}

	// Numbered is a report under the number by which the relay knows the answer to it.
	Numbered struct {
		Number uint64              `cbor:"1,keyasint"`
		Report tackdispatch.Report `cbor:"2,keyasint"`
	}

	// Answers is what the leader sends back.
	Answers struct {
		// On says that the relay is to pass reports on, and not to send workers to the
		// leader.
		On   bool     `cbor:"1,keyasint,omitempty"`
		List []Answer `cbor:"2,keyasint,omitempty"`
	}

	// Answer is the answer to one report.
	Answer struct {
		Number uint64              `cbor:"1,keyasint"`
		Orders tackdispatch.Orders `cbor:"2,keyasint"`
		// Ask is the control VM that the worker is to ask next.
		Ask tackid.Peer `cbor:"3,keyasint,omitempty"`
		// NotLeader says that the VM that answered cannot decide.
		NotLeader bool `cbor:"4,keyasint,omitempty"`
		// Problem says why the report is of no worker; empty if it is of one.
		Problem string `cbor:"5,keyasint,omitempty"`
	}
)
