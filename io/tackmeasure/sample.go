package tackmeasure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"auburntack/io/tackstandin"
)

type (
	// Role is what a daemon does in the replicated log.
	Role string

	// reading is what a daemon has used since it started.
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

	// Use is what one daemon used in a window of time.
	Use struct {
		Role Role
		// Sent, Received and Operator are bytes a second on the links to the
		// peers and on the operators' port, Messages the number on the links.
		Sent     float64
		Received float64
		Messages float64
		Operator float64
		// Platform is bytes a second between the leader and the platform.
		Platform float64
		// CPU is milliseconds of processor time a second, Memory the
		// resident memory at the end in MB of a million bytes.
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
		return fmt.Errorf("measure: %w", err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		return fmt.Errorf("measure: %s of %s: %w", path, d.ID, err)
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
		return reading{}, fmt.Errorf("measure: %w", err)
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

// use returns what was used between two readings of a daemon. One that was
// restarted between them began again at zero.
func use(from, to reading) Use {
	if from.pid != to.pid {
		from = reading{at: from.at, operator: from.operator, platform: from.platform}
	}
	seconds := to.at.Sub(from.at).Seconds()
	each := func(n int64) float64 { return float64(n) / seconds }
	return Use{
		Sent:     each(to.sent - from.sent),
		Received: each(to.received - from.received),
		Messages: each(to.messages - from.messages),
		Operator: each(to.operator - from.operator),
		Platform: each(to.platform - from.platform),
		CPU:      each(to.cpuMS - from.cpuMS),
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
