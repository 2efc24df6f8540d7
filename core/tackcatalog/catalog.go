// Package tackcatalog holds the operators' configuration of queues and services: how it
// is validated, which version is in force, and which queue serves the host and path of a
// request.
package tackcatalog

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackworkspace"
)

type (
	// Version orders catalogs; the catalog with the highest version is in force.
	Version uint64

	// Catalog is a complete configuration. Source is the text that the operator sent,
	// kept so that a read returns it unchanged.
	Catalog struct {
		Version      Version   `cbor:"1,keyasint"`
		Queues       []Queue   `cbor:"2,keyasint,omitempty"`
		Services     []Service `cbor:"3,keyasint,omitempty"`
		MaxBodyBytes int       `cbor:"4,keyasint,omitempty"`
		Source       []byte    `cbor:"5,keyasint,omitempty"`
		// RequiresKeys says that callers must present a key of a workspace on queues that
		// are not public. Otherwise all queues are open to everyone.
		RequiresKeys bool                      `cbor:"6,keyasint,omitempty"`
		Workspaces   []tackworkspace.Workspace `cbor:"7,keyasint,omitempty"`
	}

	// QueueKey identifies a queue by the host and path prefix that callers address. The
	// name that operators give to the queue may change from version to version.
	QueueKey struct {
		Host   string `cbor:"1,keyasint,omitempty"`
		Prefix string `cbor:"2,keyasint,omitempty"`
	}

	// Queue configures which service runs the jobs submitted under a host and prefix, and
	// the service level that they get.
	Queue struct {
		QueueKey
		Name    string         `cbor:"3,keyasint,omitempty"`
		Service tackid.Service `cbor:"4,keyasint"`
		// Timeout limits one call of a caller. It must not be zero.
		Timeout tackclock.Duration `cbor:"5,keyasint,omitempty"`
		// Objective is the time that a job may take in addition to Stretch times its
		// longest chain of work.
		Objective tackclock.Duration `cbor:"6,keyasint,omitempty"`
		Stretch   float64            `cbor:"7,keyasint,omitempty"`
		// Priority 0 is served first, higher values later.
		Priority int `cbor:"8,keyasint,omitempty"`
		// Attempts is the number of failed runs of one item at which its job fails.
		Attempts int `cbor:"9,keyasint,omitempty"`
		// Advised says that only some workers may run a step, and that the placement
		// advisor is asked which.
		Advised bool `cbor:"10,keyasint,omitempty"`
		// Public says that the queue requires no key. Its jobs belong to no workspace.
		Public bool `cbor:"11,keyasint,omitempty"`
	}

	// Service is a pool of workers.
	Service struct {
		Name tackid.Service `cbor:"1,keyasint"`
		// EnforcesCapacity says that the workers refuse work that exceeds their capacity.
		EnforcesCapacity bool `cbor:"2,keyasint,omitempty"`
		// Standby marks the pool whose VMs are switched off and cost nothing.
		Standby bool `cbor:"3,keyasint,omitempty"`
	}

	// InvalidError reports all problems found in a catalog.
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
	problems = append(problems, tackworkspace.Validate(c.Workspaces)...)
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// Same reports whether both catalogs have the same version and source text.
func (c *Catalog) Same(d *Catalog) bool {
	return c.Version == d.Version && bytes.Equal(c.Source, d.Source)
}

// Match returns the queue of the host with the longest prefix of path, and the rest of
// the path; nil if there is none.
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

// Service returns the service with the name, or nil.
func (c *Catalog) Service(name tackid.Service) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// HasObjectiveWithin reports whether some queue's objective is at most the given time; zero
// stands for any.
func (c *Catalog) HasObjectiveWithin(limit tackclock.Duration) bool {
	return limit == 0 || slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Objective <= limit })
}
