package tacksettings

import "auburntack/core/tackclock"

const (
	kindName kind = iota
	kindAddress
	kindFolder
	kindBool
	kindMillis
	kindBytes
	kindCount
	kindPercent
	kindChoice
	kindTimeOfDay
)

const (
	// familyPeer starts the names of the sections for the other VMs: [peer.ID].
	familyPeer = "peer"
	// familyWindow starts the names of the sections for labelled time windows:
	// [window.NAME].
	familyWindow = "window"
)

type (
	// kind is the type of a setting's value.
	kind int

	// entry describes one setting. The table of entries is the only description of the
	// settings: reading, validation and docs/SETTINGS.md are all based on it.
	entry struct {
		section      string
		key          string
		kind         kind
		defaultValue string // as written in a file; empty for none
		required     bool   // has no default and must be given
		low          float64
		high         float64
		choices      []string
		doc          string
		// field returns a pointer to the setting's field: in s, or in m for a key of a
		// section of a family.
		field func(s *Settings, m *familySection) any
	}
)

// partChoices are the values of a setting that switches a part of load control.
var partChoices = []string{string(PartAuto), string(PartOn), string(PartOff)}

const (
	kib = 1 << 10
	mib = 1 << 20

	minute = float64(tackclock.Minute)
	hour   = float64(tackclock.Hour)
)

var table = []entry{
	{section: "vm", key: "id", kind: kindName, required: true,
		doc:   "name of this VM of the system; unique among all of them, and never given to another",
		field: func(s *Settings, _ *familySection) any { return &s.VM.ID }},
	{section: "vm", key: "data_centre", kind: kindName, required: true,
		doc:   "data centre that this VM is in; callers that come to it are served from there first",
		field: func(s *Settings, _ *familySection) any { return &s.VM.DataCentre }},

	{section: "listen", key: "caller", kind: kindAddress, required: true,
		doc:   "where callers' requests come in",
		field: func(s *Settings, _ *familySection) any { return &s.Listen.Caller }},
	{section: "listen", key: "operator", kind: kindAddress, required: true,
		doc:   "where operators, announcements, probes and metrics come in; keep it off public networks",
		field: func(s *Settings, _ *familySection) any { return &s.Listen.Operator }},
	{section: "listen", key: "peer", kind: kindAddress, required: true,
		doc:   "where the other VMs of the system connect; the address they have in their files",
		field: func(s *Settings, _ *familySection) any { return &s.Listen.Peer }},

	{section: "state", key: "folder", kind: kindFolder,
		doc:   "data folder, best an absolute path; left out on a VM without a disk",
		field: func(s *Settings, _ *familySection) any { return &s.State.Folder }},
	{section: "state", key: "replica", kind: kindBool, defaultValue: "false",
		doc:   "whether this VM votes in the replicated log; needs a folder",
		field: func(s *Settings, _ *familySection) any { return &s.State.Replica }},

	{section: familyPeer, key: "data_centre", kind: kindName, required: true,
		doc:   "data centre of that VM",
		field: func(_ *Settings, m *familySection) any { return &m.peer.DataCentre }},
	{section: familyPeer, key: "address", kind: kindAddress, required: true,
		doc:   "the `peer` address that VM listens on",
		field: func(_ *Settings, m *familySection) any { return &m.peer.Address }},
	{section: familyPeer, key: "replica", kind: kindBool, defaultValue: "false",
		doc:   "whether that VM votes; the same in every VM's file",
		field: func(_ *Settings, m *familySection) any { return &m.peer.Replica }},

	{section: "platform", key: "address", kind: kindAddress,
		doc:   "where the platform answers; left out, maintenance is recorded and not carried out",
		field: func(s *Settings, _ *familySection) any { return &s.Platform.Address }},

	{section: "wave", key: "settle_ms", kind: kindMillis, defaultValue: "30000", low: 1, high: hour,
		doc:   "how long a repaired VM serves before the next is stopped, at least",
		field: func(s *Settings, _ *familySection) any { return &s.Wave.Settle }},
	{section: "wave", key: "drain_limit_ms", kind: kindMillis, defaultValue: "600000", low: 1000, high: 24 * hour,
		doc:   "how long a VM may take to finish its work before it is returned to service and tried later",
		field: func(s *Settings, _ *familySection) any { return &s.Wave.DrainLimit }},
	{section: "wave", key: "operation_limit_ms", kind: kindMillis, defaultValue: "900000", low: 1000, high: 24 * hour,
		doc:   "how long a VM may take to be operated, and again to serve after it, before it counts as failed",
		field: func(s *Settings, _ *familySection) any { return &s.Wave.OperationLimit }},
	{section: "wave", key: "reboot_ms", kind: kindMillis, defaultValue: "180000", low: 1, high: 24 * hour,
		doc:   "how long an operation is expected to take until durations have been learned; used by `cost`",
		field: func(s *Settings, _ *familySection) any { return &s.Wave.Reboot }},
	{section: "wave", key: "prefer", kind: kindChoice, defaultValue: "buffer", choices: []string{"buffer", "time"},
		doc:   "what a wave saves first: VMs held idle, or time",
		field: func(s *Settings, _ *familySection) any { return &s.Wave.Prefer }},
	{section: "wave", key: "night_ends", kind: kindTimeOfDay,
		doc:   "time of day in UTC by which waves must have ended; left out, no hour binds",
		field: func(s *Settings, _ *familySection) any { return &s.Wave.NightEnds }},
	{section: "wave", key: "canary", kind: kindCount, defaultValue: "1", low: 1, high: 100,
		doc:   "VMs of a wave's first step, which must come back well before the others follow",
		field: func(s *Settings, _ *familySection) any { return &s.Wave.Canary }},
	{section: "wave", key: "max_lost", kind: kindCount, defaultValue: "0", low: -1, high: 100,
		doc:   "VMs that a wave may lose before it stops by itself; 0 stands for one in 50 of its VMs and at least 1, -1 for none",
		field: func(s *Settings, _ *familySection) any { return &s.Wave.MaxLost }},

	{section: "stop", key: "linger_ms", kind: kindMillis, defaultValue: "2000", low: 0, high: 5 * minute,
		doc:   "served on after /readyz says 503, so that the balancer can follow",
		field: func(s *Settings, _ *familySection) any { return &s.Stop.Linger }},
	{section: "stop", key: "deadline_ms", kind: kindMillis, defaultValue: "30000", low: 1000, high: hour,
		doc:   "how long a graceful stop may take in all; after it the process ends with exit code 1",
		field: func(s *Settings, _ *familySection) any { return &s.Stop.Deadline }},

	{section: "log", key: "level", kind: kindChoice, defaultValue: "info", choices: []string{"error", "warn", "info", "debug"},
		doc:   "the least severe lines that are written",
		field: func(s *Settings, _ *familySection) any { return &s.Log.Level }},
	{section: "log", key: "format", kind: kindChoice, defaultValue: "text", choices: []string{"text", "json"},
		doc:   "form of a log line",
		field: func(s *Settings, _ *familySection) any { return &s.Log.Format }},
	{section: "log", key: "profiling", kind: kindBool, defaultValue: "false",
		doc:   "whether processor and memory profiles are served under `/debug/pprof/` beside the metrics",
		field: func(s *Settings, _ *familySection) any { return &s.Log.Profiling }},

	{section: "replica", key: "heartbeat_ms", kind: kindMillis, defaultValue: "200", low: 10, high: 10_000,
		doc:   "how often the leader calls on each peer",
		field: func(s *Settings, _ *familySection) any { return &s.Replica.Heartbeat }},
	{section: "replica", key: "election_ms", kind: kindMillis, defaultValue: "1000", low: 100, high: minute,
		doc:   "silence of the leader after which a replica stands for election; each draws between this and twice this",
		field: func(s *Settings, _ *familySection) any { return &s.Replica.Election }},
	{section: "replica", key: "lease_ms", kind: kindMillis, defaultValue: "900", low: 50, high: minute,
		doc:   "how long a peer may rely on the leader's last word; below `election_ms`, the same in every VM's file",
		field: func(s *Settings, _ *familySection) any { return &s.Replica.Lease }},

	{section: "caller", key: "body_limit_bytes", kind: kindBytes, defaultValue: "1073741824", low: 1, high: 16384 * mib,
		doc:   "longest body of a request; longer ones get 413",
		field: func(s *Settings, _ *familySection) any { return &s.Caller.BodyLimit }},
	{section: "caller", key: "buffer_limit_bytes", kind: kindBytes, defaultValue: "67108864", low: mib, high: 16384 * mib,
		doc:   "memory for the bodies of all requests together",
		field: func(s *Settings, _ *familySection) any { return &s.Caller.BufferLimit }},
	{section: "caller", key: "header_limit_bytes", kind: kindBytes, defaultValue: "65536", low: kib, high: mib,
		doc:   "longest header of a request; longer ones get 431",
		field: func(s *Settings, _ *familySection) any { return &s.Caller.HeaderLimit }},
	{section: "caller", key: "header_timeout_ms", kind: kindMillis, defaultValue: "10000", low: 100, high: 5 * minute,
		doc:   "how long a caller may take to send a header",
		field: func(s *Settings, _ *familySection) any { return &s.Caller.HeaderTimeout }},
	{section: "caller", key: "body_timeout_ms", kind: kindMillis, defaultValue: "10000", low: 100, high: hour,
		doc:   "how long the next bytes of a body may take, in either direction",
		field: func(s *Settings, _ *familySection) any { return &s.Caller.BodyTimeout }},
	{section: "caller", key: "default_timeout_ms", kind: kindMillis, defaultValue: "30000", low: 10, high: hour,
		doc:   "how long a caller is taken to wait where Auburntack-Timeout-Ms is left out",
		field: func(s *Settings, _ *familySection) any { return &s.Caller.DefaultTimeout }},
	{section: "caller", key: "queue_limit", kind: kindCount, defaultValue: "4096", low: 1, high: 100_000,
		doc:   "requests of one service that may wait for a slot; further ones get 503 at once",
		field: func(s *Settings, _ *familySection) any { return &s.Caller.QueueLimit }},

	{section: "clients", key: "memory_percent", kind: kindCount, defaultValue: "50", low: 1, high: 90,
		doc:   "part of the machine's memory that the clients of all ports may make the process hold: connections, headers, bodies and what waits in sockets; unfinished requests make room for others, the largest first, and what finds none gets 503 or is closed",
		field: func(s *Settings, _ *familySection) any { return &s.Clients.MemoryPercent }},
	{section: "clients", key: "body_timeout_ms", kind: kindMillis, defaultValue: "10000", low: 100, high: hour,
		doc:   "how long a body may take in all, beside the time that `body_rate_bytes` gives it; slower ones get 408",
		field: func(s *Settings, _ *familySection) any { return &s.Clients.BodyTimeout }},
	{section: "clients", key: "body_rate_bytes", kind: kindBytes, defaultValue: "4096", low: 1, high: 16384 * mib,
		doc:   "bytes of a body that must come each second once `body_timeout_ms` has passed",
		field: func(s *Settings, _ *familySection) any { return &s.Clients.BodyRate }},
	{section: "clients", key: "write_timeout_ms", kind: kindMillis, defaultValue: "20000", low: 100, high: hour,
		doc:   "how long a client may take for the next 64 KiB of an answer; not for callers' requests, whose answers have a time-out of their own",
		field: func(s *Settings, _ *familySection) any { return &s.Clients.WriteTimeout }},
	{section: "clients", key: "header_limit_bytes", kind: kindBytes, defaultValue: "32768", low: kib, high: mib,
		doc:   "longest header of a request, but for callers' requests, which have `caller.header_limit_bytes`; longer ones get 431",
		field: func(s *Settings, _ *familySection) any { return &s.Clients.HeaderLimit }},
	{section: "clients", key: "receive_buffer_bytes", kind: kindBytes, defaultValue: "0", low: 0, high: 16 * mib,
		doc:   "receive buffer of the socket of a client's connection, in which bytes wait unread; the kernel may take twice that; 0 stands for what lets all connections together take an eighth of the memory, 4 to 64 KiB",
		field: func(s *Settings, _ *familySection) any { return &s.Clients.ReceiveBuffer }},
	{section: "clients", key: "send_buffer_bytes", kind: kindBytes, defaultValue: "0", low: 0, high: 16 * mib,
		doc:   "the same for what waits to be sent to a client; 0 stands for the same part of the memory, 16 to 256 KiB",
		field: func(s *Settings, _ *familySection) any { return &s.Clients.SendBuffer }},

	{section: "burn", key: "objective_percent", kind: kindPercent, defaultValue: "99.9", low: 50, high: 99.999,
		doc:   "requests of a service that must be answered well and on time; the rest is its error budget",
		field: func(s *Settings, _ *familySection) any { return &s.Burn.Objective }},

	{section: "job", key: "lease_ms", kind: kindMillis, defaultValue: "3500", low: 1000, high: 10_000,
		doc:   "how long a worker's items run on after its last answered heartbeat; work of lost workers and leaders waits for as long",
		field: func(s *Settings, _ *familySection) any { return &s.Job.Lease }},
	{section: "job", key: "retry_ms", kind: kindMillis, defaultValue: "150", low: 50, high: 1500,
		doc:   "when a worker with room sends its next heartbeat",
		field: func(s *Settings, _ *familySection) any { return &s.Job.Retry }},
	{section: "job", key: "retry_busy_ms", kind: kindMillis, defaultValue: "400", low: 50, high: 1500,
		doc:   "when one without room does",
		field: func(s *Settings, _ *familySection) any { return &s.Job.RetryBusy }},
	{section: "job", key: "admit_percent", kind: kindCount, defaultValue: "160", low: 1, high: 1000,
		doc:   "part of a job's objective within which its pool must be through with all that waits before it, by the cores it has now; later jobs get 429",
		field: func(s *Settings, _ *familySection) any { return &s.Job.AdmitPercent }},
	{section: "job", key: "copy_after_ms", kind: kindMillis, defaultValue: "900", low: 300, high: 10_000,
		doc:   "silence of a worker after which items that may run in copies start elsewhere as well",
		field: func(s *Settings, _ *familySection) any { return &s.Job.CopyAfter }},
	{section: "job", key: "relay_from", kind: kindCount, defaultValue: "1000", low: 1, high: 1_000_000,
		doc:   "from how many workers on they report to control VMs that do not lead, which pass the reports on",
		field: func(s *Settings, _ *familySection) any { return &s.Job.RelayFrom }},

	{section: "move", key: "behind_after_ms", kind: kindMillis, defaultValue: "800", low: 1, high: minute,
		doc:   "backlog, as time that a pool needs for it, from which on it is given VMs",
		field: func(s *Settings, _ *familySection) any { return &s.Move.BehindAfter }},
	{section: "move", key: "finish_within_ms", kind: kindMillis, defaultValue: "2500", low: 100, high: minute,
		doc:   "time within which a pool should do what was refused just now and what requires a label; all else goes by deadlines",
		field: func(s *Settings, _ *familySection) any { return &s.Move.FinishWithin }},
	{section: "move", key: "late_within_ms", kind: kindMillis, defaultValue: "10000", low: 100, high: hour,
		doc:   "time within which a pool should do what cannot be in time any more",
		field: func(s *Settings, _ *familySection) any { return &s.Move.LateWithin }},
	{section: "move", key: "arriving_percent", kind: kindCount, defaultValue: "100", low: 1, high: 1000,
		doc:   "part of the work of the last second for which VMs are sent besides",
		field: func(s *Settings, _ *familySection) any { return &s.Move.ArrivingPercent }},
	{section: "move", key: "empty_within_ms", kind: kindMillis, defaultValue: "2000", low: 1, high: minute,
		doc:   "time within which a busy VM that gets nothing new must be through to be emptied for another pool",
		field: func(s *Settings, _ *familySection) any { return &s.Move.EmptyWithin }},
	{section: "move", key: "park_after_ms", kind: kindMillis, defaultValue: "30000", low: 100, high: hour,
		doc:   "idle time that costs as much as a VM's rest in the standby pool and its return; it rests after that time, or sooner where the idle times seen so far say that this costs less",
		field: func(s *Settings, _ *familySection) any { return &s.Move.ParkAfter }},
	{section: "move", key: "keep_percent", kind: kindCount, defaultValue: "33", low: 1, high: 100,
		doc:   "part of a pool's VMs that stays however idle they are, of each kind one at least",
		field: func(s *Settings, _ *familySection) any { return &s.Move.KeepPercent }},

	{section: "load_control", key: "interrupt_limit_ms", kind: kindMillis, defaultValue: "500", low: 1, high: minute,
		doc:   "the parts below that say `auto` are on where the platform stops an item and resumes it from its checkpoint within this time together, and off where that takes longer or is not known",
		field: func(s *Settings, _ *familySection) any { return &s.LoadControl.InterruptLimit }},
	{section: "load_control", key: "joint_planning", kind: kindChoice, defaultValue: "auto", choices: partChoices,
		doc:   "whether the VMs of all pools are planned together: none stays idle in one pool while another is short, and those that no pool needs are parked; `auto` asks besides for a queue whose objective is at most two moves and 700 ms",
		field: func(s *Settings, _ *familySection) any { return &s.LoadControl.JointPlanning }},
	{section: "load_control", key: "forecast", kind: kindChoice, defaultValue: "auto", choices: partChoices,
		doc:   "whether VMs are moved ahead of demand that is expected within the time of a move; needs `joint_planning`",
		field: func(s *Settings, _ *familySection) any { return &s.LoadControl.Forecast }},
	{section: "load_control", key: "admission", kind: kindChoice, defaultValue: "off", choices: partChoices,
		doc:   "whether a job is accepted by the work that is served before it and the VMs that will be there, and room is kept for refused callers until the time that they were told",
		field: func(s *Settings, _ *familySection) any { return &s.LoadControl.Admission }},
	{section: "load_control", key: "confinement", kind: kindChoice, defaultValue: "off", choices: partChoices,
		doc:   "whether a queue whose items crash their workers is confined to a part of its pool until its items have been tried",
		field: func(s *Settings, _ *familySection) any { return &s.LoadControl.Confinement }},

	{section: familyWindow, key: "service", kind: kindName,
		doc:   "service whose requests are counted for the window; left out, those of all services",
		field: func(_ *Settings, m *familySection) any { return &m.window.Service }},
	{section: familyWindow, key: "from", kind: kindTimeOfDay, required: true,
		doc:   "time of day in UTC at which the window opens",
		field: func(_ *Settings, m *familySection) any { return &m.window.From }},
	{section: familyWindow, key: "to", kind: kindTimeOfDay, required: true,
		doc:   "time of day in UTC at which it closes, on the next day if it is earlier than `from`",
		field: func(_ *Settings, m *familySection) any { return &m.window.To }},
}
