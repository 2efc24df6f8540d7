package tackmeasure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"auburntack/io/tackstandin"
)

type (
	// Role is the role of a daemon in the replicated log.
	Role string

	// reading is a reading of the counters of a daemon. They count from its start.
	reading struct {
		at       time.Time
		pid      int
		sent     int64
		received int64
		messages int64
		operator int64
		platform int64
		cpuMS    int64
		memory   int64
	}

	// Usage is the resource usage of a daemon in a period.
	Usage struct {
		Role Role
		// Sent, Received and Messages are the bytes and messages per second on the links to
		// peers, Operator the bytes per second on the operator port.
		Sent     float64
		Received float64
		Messages float64
		Operator float64
		// Platform is the bytes per second between the leader and the platform.
		Platform float64
		// CPU is the CPU time in milliseconds per second, Memory the resident memory at the
		// end of the period in MB (1,000,000 bytes).
		CPU    float64
		Memory float64
	}
)

// The roles of a daemon.
const (
	RoleLeader  Role = "leader"
	RoleReplica Role = "replica"
	RoleLearner Role = "learner"
)

var metricsClient = &http.Client{Timeout: 10 * time.Second}

func get(d *tackstandin.Daemon, path string, into any) error {
	r, err := metricsClient.Get("http://" + d.Operator + path)
	if err != nil {
		return fmt.Errorf("tackmeasure: %w", err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		return fmt.Errorf("tackmeasure: %s of %s: %w", path, d.ID, err)
	}
	return nil
}

func (c *cluster) read(d *tackstandin.Daemon) (reading, error) {
	var counters map[string]struct {
		Count int64 `json:"count"`
	}
	if err := get(d, "/metrics", &counters); err != nil {
		return reading{}, err
	}
	cpu, memory, err := d.CPU()
	if err != nil {
		return reading{}, fmt.Errorf("tackmeasure: %w", err)
	}
	return reading{
		at:       time.Now(),
		pid:      d.PID(),
		sent:     counters["peer_sent_bytes"].Count,
		received: counters["peer_received_bytes"].Count,
		messages: counters["peer_sent_messages"].Count + counters["peer_received_messages"].Count,
		operator: c.announcers.Bytes(d),
		platform: c.platform.bytes.Load(),
		cpuMS:    cpu,
		memory:   memory,
	}, nil
}

// usageBetween returns the resource usage between two readings of a daemon. If the daemon was
// restarted in between, its counters started again at zero.
func usageBetween(from, to reading) Usage {
	if from.pid != to.pid {
		from = reading{at: from.at, operator: from.operator, platform: from.platform}
	}
	seconds := to.at.Sub(from.at).Seconds()
	perSecond := func(n int64) float64 { return float64(n) / seconds }
	return Usage{
		Sent:     perSecond(to.sent - from.sent),
		Received: perSecond(to.received - from.received),
		Messages: perSecond(to.messages - from.messages),
		Operator: perSecond(to.operator - from.operator),
		Platform: perSecond(to.platform - from.platform),
		CPU:      perSecond(to.cpuMS - from.cpuMS),
		Memory:   float64(to.memory) * 1024 / 1e6,
	}
}

func roleOf(d *tackstandin.Daemon) Role {
	var health struct {
		Leader string `json:"leader"`
	}
	err := get(d, "/readyz", &health)
	switch {
	case err == nil && health.Leader == d.ID:
		return RoleLeader
	case d.Replica:
		return RoleReplica
	default:
		return RoleLearner
	}
}
