// Package tackrelay implements relaying of worker heartbeats: control VMs that are not the
// leader receive them and forward them to the leader.
//
// There are thousands of workers, each of which sends heartbeats several times a second on
// a connection of its own. If all of them reported to the leader, they would use up its
// file descriptors, memory and CPU, and after its loss they would look for the next leader
// all at once. With relays the leader has a few connections, each of which carries many
// reports per message, and workers need not know which VM leads.
//
// A relay makes no decisions. The leader counts a lease from when a report reaches it,
// which is after the worker has sent it, so leases are correct however long a report is in
// transit.
package tackrelay

import (
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
)

type (
	// Reports is a message from a relay to the leader. It contains worker reports, or none
	// if it only says that the relay is available.
	Reports struct {
		// DataCentre is the data centre of the relay.
		DataCentre tackid.DataCentre `cbor:"1,keyasint"`
		List       []NumberedReport  `cbor:"2,keyasint,omitempty"`
		// On reports whether the relay forwards reports, as the last leader told it.
		On bool `cbor:"3,keyasint,omitempty"`
	}

	// NumberedReport is a report with the number by which the relay identifies the answer
	// to it.
	NumberedReport struct {
		Number uint64              `cbor:"1,keyasint"`
		Report tackdispatch.Report `cbor:"2,keyasint"`
	}

	// Answers is a message from the leader to a relay.
	Answers struct {
		// On reports whether the relay must forward reports instead of redirecting workers
		// to the leader.
		On   bool     `cbor:"1,keyasint,omitempty"`
		List []Answer `cbor:"2,keyasint,omitempty"`
	}

	// Answer is the answer to one report.
	Answer struct {
		Number uint64              `cbor:"1,keyasint"`
		Orders tackdispatch.Orders `cbor:"2,keyasint"`
		// NextPeer is the control VM that the worker must report to next.
		NextPeer tackid.Peer `cbor:"3,keyasint,omitempty"`
		// NotLeader reports that the VM that answered is not the leader.
		NotLeader bool `cbor:"4,keyasint,omitempty"`
		// Problem is the reason why the report is not that of a worker, or empty if it is.
		Problem string `cbor:"5,keyasint,omitempty"`
	}
)
