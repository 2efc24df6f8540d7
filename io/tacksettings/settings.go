// Package tacksettings reads the settings of one VM of the system from an
// INI file. Every setting is typed and checked before the daemon opens
// anything, and every problem is reported at once.
package tacksettings

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// PreferBuffer makes waves save buffer VMs at the cost of time.
	PreferBuffer Preference = "buffer"
	// PreferTime makes waves end early at the cost of buffer VMs.
	PreferTime Preference = "time"
)

const (
	// LogText writes a log line as key=value pairs.
	LogText LogFormat = "text"
	// LogJSON writes a log line as a JSON object.
	LogJSON LogFormat = "json"
)

type (
	// Settings is all that a daemon is told by its file. Durations are in
	// milliseconds, sizes in bytes. Default returns it with every default.
	Settings struct {
		VM       VM
		Listen   Listen
		State    State
		Peers    []Peer
		Platform Platform
		Wave     Wave
		Stop     Stop
		Log      Log
		Replica  Replica
		Caller   Caller
		Burn     Burn
		Job      Job
		Move     Move
	}

	// VM says which VM of the system this one is.
	VM struct {
		ID         tackid.Peer
		DataCentre tackid.DataCentre
	}

	// Listen holds the addresses to listen on, each an IP number with a port.
	Listen struct {
		Caller   string
		Operator string
		Peer     string
	}

	// State says where the VM keeps what must survive it. Folder is empty on
	// a VM without a disk; Replica says that the VM votes, which needs one.
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

	// Platform says where the platform answers. With an empty Address,
	// maintenance is recorded and not carried out.
	Platform struct {
		Address string
	}

	// Preference is what a wave saves first.
	Preference string

	// Wave holds the tunables of maintenance waves. NightEnds is empty where
	// no hour binds. MaxLost is 0 for one in 50 of a wave's VMs, and negative
	// for none.
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

	// Stop holds the times of a graceful stop.
	Stop struct {
		Linger   tackclock.Duration
		Deadline tackclock.Duration
	}

	// LogFormat is the form of a log line.
	LogFormat string

	// Log says what is logged and how. Level is a logrus level's name.
	Log struct {
		Level     string
		Format    LogFormat
		Profiling bool
	}

	// Replica holds the times of the replicated log.
	Replica struct {
		Heartbeat tackclock.Duration
		Election  tackclock.Duration
		Lease     tackclock.Duration
	}

	// Caller bounds what one request and all requests together may take.
	// Limits are in bytes, QueueLimit in requests a service.
	Caller struct {
		BodyLimit      int64
		BufferLimit    int64
		HeaderLimit    int64
		HeaderTimeout  tackclock.Duration
		BodyTimeout    tackclock.Duration
		DefaultTimeout tackclock.Duration
		QueueLimit     int
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

	// Burn holds the service-level objective, the percentage of requests
	// that must be answered well and on time, and the windows for which
	// requests are counted besides.
	Burn struct {
		Objective float64
		Windows   []Window
	}
)

// Default returns the settings with every default and nothing else.
func Default() Settings {
	var s Settings
	for i := range table {
		e := &table[i]
		if !isFamily(e.section) && e.initial != "" {
			_ = e.parse(e.initial, e.field(&s, nil)) // a test holds that every default parses
		}
	}
	return s
}

// Load reads and checks file. The error is a *ProblemsError that lists every
// problem found.
func Load(file string) (Settings, error) {
	r := reader{settings: Default()}
	r.read(file)
	r.checkTogether()
	if len(r.problems) > 0 {
		return Settings{}, &ProblemsError{File: file, Problems: r.problems}
	}
	return r.settings, nil
}

// LoadTunables reads a file that holds no more than the sections [job], [move]
// and [log], for a VM that is told all else by its platform; an empty name is a
// file with nothing in it. Log lines are JSON there unless it says otherwise. The
// error is a *ProblemsError that lists every problem found.
func LoadTunables(file string) (Settings, error) {
	r := reader{settings: Default(), only: []string{"job", "move", "log"}}
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
