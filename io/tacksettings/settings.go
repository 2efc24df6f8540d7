// Package tacksettings reads the settings of one VM of the system from an INI file. All
// settings are typed and validated before the daemon opens anything, and all problems
// are reported at once.
package tacksettings

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// PreferBuffer makes waves use few buffer VMs at the cost of time.
	PreferBuffer Preference = "buffer"
	// PreferTime makes waves finish early at the cost of buffer VMs.
	PreferTime Preference = "time"
)

const (
	// LogText writes log lines as key=value pairs.
	LogText LogFormat = "text"
	// LogJSON writes log lines as JSON objects.
	LogJSON LogFormat = "json"
)

type (
	// Settings holds the settings of a daemon. Durations are in milliseconds, sizes in
	// bytes. Default returns the default settings.
	Settings struct {
		VM          VM
		Listen      Listen
		State       State
		Peers       []Peer
		Platform    Platform
		Wave        Wave
		Stop        Stop
		Log         Log
		Replica     Replica
		Caller      Caller
		Clients     Clients
		Burn        Burn
		Job         Job
		Move        Move
		LoadControl LoadControl
	}

	// VM identifies this VM among the VMs of the system.
	VM struct {
		ID         tackid.Peer
		DataCentre tackid.DataCentre
	}

	// Listen holds the addresses to listen on, each an IP address with a port.
	Listen struct {
		Caller   string
		Operator string
		Peer     string
	}

	// State describes the persistent storage of the VM. Folder is empty on a VM without
	// a disk. Replica makes the VM a voting member, which requires a folder.
	State struct {
		Folder  string
		Replica bool
	}

	// Peer is another VM of the system.
	Peer struct {
		ID         tackid.Peer
		DataCentre tackid.DataCentre
		Address    string
		Replica    bool
	}

	// Platform holds the address of the platform. If it is empty, maintenance is
	// recorded but not carried out.
	Platform struct {
		Address string
	}

	// Preference is what a wave saves first: buffer VMs or time.
	Preference string

	// Wave holds the tunables of maintenance waves. NightEnds is empty if waves need not
	// end by a time of day. MaxLost is 0 for one in 50 of a wave's VMs, and negative for
	// none.
	Wave struct {
		Settle         tackclock.Duration
		DrainLimit     tackclock.Duration
		OperationLimit tackclock.Duration
		Reboot         tackclock.Duration
		Prefer         Preference
		NightEnds      TimeOfDay
		Canary         int
		MaxLost        int
	}

	// Stop holds the timing of a graceful stop.
	Stop struct {
		Linger   tackclock.Duration
		Deadline tackclock.Duration
	}

	// LogFormat is the format of log lines.
	LogFormat string

	// Log configures logging. Level is the name of a logrus level.
	Log struct {
		Level     string
		Format    LogFormat
		Profiling bool
	}

	// Replica holds the timing of the replicated log.
	Replica struct {
		Heartbeat tackclock.Duration
		Election  tackclock.Duration
		Lease     tackclock.Duration
	}

	// Caller limits the resources of one request and of all requests together. Limits
	// are in bytes, except for QueueLimit, which is in requests per service.
	Caller struct {
		BodyLimit      int64
		BufferLimit    int64
		HeaderLimit    int64
		HeaderTimeout  tackclock.Duration
		BodyTimeout    tackclock.Duration
		DefaultTimeout tackclock.Duration
		QueueLimit     int
	}

	// Clients limits what the clients of all ports together may make the process hold. Sizes
	// are in bytes, BodyRate in bytes per second.
	Clients struct {
		MemoryPercent int
		BodyTimeout   tackclock.Duration
		BodyRate      int64
		WriteTimeout  tackclock.Duration
		HeaderLimit   int64
		ReceiveBuffer int64
		SendBuffer    int64
	}

	// Job holds the tunables of accepting jobs and starting their items.
	Job struct {
		Lease        tackclock.Duration
		Retry        tackclock.Duration
		RetryBusy    tackclock.Duration
		AdmitPercent int
		CopyAfter    tackclock.Duration
		RelayFrom    int
	}

	// Move holds the tunables of moving worker VMs between pools.
	Move struct {
		BehindAfter     tackclock.Duration
		FinishWithin    tackclock.Duration
		LateWithin      tackclock.Duration
		ArrivingPercent int
		EmptyWithin     tackclock.Duration
		ParkAfter       tackclock.Duration
		KeepPercent     int
	}

	// Burn holds the service-level objective, which is the percentage of requests that
	// must succeed on time, and the windows for which requests are also counted
	// separately.
	Burn struct {
		Objective float64
		Windows   []Window
	}
)

// Default returns settings that hold all defaults and nothing else.
func Default() Settings {
	var s Settings
	for i := range table {
		e := &table[i]
		if !isFamily(e.section) && e.defaultValue != "" {
			_ = e.parse(e.defaultValue, e.field(&s, nil)) // a test checks that every default parses
		}
	}
	return s
}

// Load reads and validates file. The error is a *ProblemsError that lists every problem
// found.
func Load(file string) (Settings, error) {
	r := reader{settings: Default()}
	r.read(file)
	r.checkCombinations()
	if len(r.problems) > 0 {
		return Settings{}, &ProblemsError{File: file, Problems: r.problems}
	}
	return r.settings, nil
}

// LoadTunables reads a file that may hold only the sections [clients], [job], [move],
// [load_control] and [log], for a VM that gets all other settings from its platform. An empty file name stands for an
// empty file. Log lines are JSON unless the file says otherwise. The error is a
// *ProblemsError that lists every problem found.
func LoadTunables(file string) (Settings, error) {
	r := reader{settings: Default(), allowedSections: []string{"clients", "job", "move", "load_control", "log"}}
	r.settings.Log.Format = LogJSON
	if file == "" {
		return r.settings, nil
	}
	r.read(file)
	if len(r.problems) > 0 {
		return Settings{}, &ProblemsError{File: file, Problems: r.problems}
	}
	return r.settings, nil
}
