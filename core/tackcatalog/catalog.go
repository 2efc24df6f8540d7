// Package tackcatalog holds the operators' configuration of queues and
// services: what is valid, which version is in force, and which queue a
// request's host and path belong to.
package tackcatalog

import (
	"bytes"
	"fmt"
	"strings"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackworkspace"
)

type (
	// Version orders catalogs; the highest one is in force.
	Version uint64

	// Catalog is one complete configuration. Source is the operator's own
	// text, kept so that a read returns exactly what was sent.
	Catalog struct {
		Version      Version   `cbor:"1,keyasint"`
		Queues       []Queue   `cbor:"2,keyasint,omitempty"`
		Services     []Service `cbor:"3,keyasint,omitempty"`
		MaxBodyBytes int       `cbor:"4,keyasint,omitempty"`
		Source       []byte    `cbor:"5,keyasint,omitempty"`
		// Keyed says that callers must show a key of a workspace, on queues that are
		// not public. Without it all queues are open to everybody.
		Keyed      bool                      `cbor:"6,keyasint,omitempty"`
		Workspaces []tackworkspace.Workspace `cbor:"7,keyasint,omitempty"`
	}

	// QueueKey names a queue by what callers address: host and path prefix.
	// The operators' name for it may change from version to version.
	QueueKey struct {
		Host   string `cbor:"1,keyasint,omitempty"`
		Prefix string `cbor:"2,keyasint,omitempty"`
	}

	// Queue says who runs the jobs that are handed in under a host and
	// prefix, and what they are owed.
	Queue struct {
		QueueKey
		Name    string         `cbor:"3,keyasint,omitempty"`
		Service tackid.Service `cbor:"4,keyasint"`
		// Timeout bounds one call of a caller. It must not be zero.
		Timeout tackclock.Duration `cbor:"5,keyasint,omitempty"`
		// Objective is the time that a job may take beyond Stretch times its
		// longest chain of work.
		Objective tackclock.Duration `cbor:"6,keyasint,omitempty"`
		Stretch   float64            `cbor:"7,keyasint,omitempty"`
		// Priority 0 goes before higher figures.
		Priority int `cbor:"8,keyasint,omitempty"`
		// Attempts is how many runs of one item may fail before its job has.
		Attempts int `cbor:"9,keyasint,omitempty"`
		// Advised says that only some workers may run a step, and that the
		// placement advisor knows which.
		Advised bool `cbor:"10,keyasint,omitempty"`
		// Public queues ask for no key. Their jobs belong to no workspace.
		Public bool `cbor:"11,keyasint,omitempty"`
	}

	// Service is a pool of workers.
	Service struct {
		Name tackid.Service `cbor:"1,keyasint"`
		// Guards says that its workers refuse what exceeds their capacity.
		Guards bool `cbor:"2,keyasint,omitempty"`
		// Standby marks the pool whose VMs are off and cost nothing.
		Standby bool `cbor:"3,keyasint,omitempty"`
	}

	// InvalidError reports all that is wrong with a catalog.
	InvalidError struct {
		Problems []tackworkspace.Problem
	}
)

// Error implements error.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		texts[i] = p.Field + ": " + p.Text
	}
	return strings.Join(texts, "; ")
}

// Validate returns an *InvalidError if the catalog cannot be put in force.
func (c *Catalog) Validate() error {
	var problems []tackworkspace.Problem
	add := func(field, text string) { problems = append(problems, tackworkspace.Problem{Field: field, Text: text}) }
	if c.Version == 0 {
		add("version", "missing or zero")
	}
	services := make(map[tackid.Service]bool, len(c.Services))
	for i, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			add(fmt.Sprintf("services[%d].name", i), "empty or given twice")
		}
		services[s.Name] = true
	}
	seen := make(map[QueueKey]bool, len(c.Queues))
	for i, q := range c.Queues {
		field := fmt.Sprintf("routes[%d]", i)
		if !services[q.Service] {
			add(field+".service", fmt.Sprintf("unknown service %q", q.Service))
		}
		if seen[q.QueueKey] {
			add(field, "host and prefix of another route")
		}
		if q.Timeout <= 0 {
			add(field+".timeout_ms", "must be above 0")
		}
		if !strings.HasPrefix(q.Prefix, "/") {
			add(field+".prefix", "must begin with a slash")
		}
		seen[q.QueueKey] = true
	}
	problems = append(problems, tackworkspace.Check(c.Workspaces)...)
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// Same reports whether both were sent with the same text.
func (c *Catalog) Same(d *Catalog) bool {
	return c.Version == d.Version && bytes.Equal(c.Source, d.Source)
}

// Match returns the queue with the longest prefix that path begins with, and
// what follows the prefix; nil if there is none.
func (c *Catalog) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue with the key, or nil.
func (c *Catalog) Queue(key QueueKey) *Queue {
	for i := range c.Queues {
		if c.Queues[i].QueueKey == key {
			return &c.Queues[i]
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (c *Catalog) Service(name tackid.Service) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
