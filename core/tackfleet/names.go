package tackfleet

import "fmt"

var (
	healthNames = []string{HealthUnknown: "unknown", HealthServing: "serving", HealthLost: "lost"}

	vmStateNames = []string{
		VMInService: "in_service", VMDraining: "draining", VMDrained: "drained",
		VMMaintenance: "maintenance", VMSettling: "settling", VMMoving: "moving", VMFailed: "failed",
	}

	waveStatusNames = []string{
		WavePlanned: "planned", WaveRunning: "running", WavePaused: "paused",
		WaveStopped: "stopped", WaveFinished: "finished", WaveCancelled: "cancelled",
	}

	phaseNames = []string{
		PhaseWaiting: "waiting", PhaseDraining: "draining", PhaseOperating: "operating",
		PhaseReturning: "returning", PhaseSettling: "settling", PhaseDone: "done",
		PhaseFailed: "failed", PhaseSkipped: "skipped",
	}

	taskStateNames = []string{
		TaskQueued: "queued", TaskRunning: "running", TaskDone: "done",
		TaskCancelled: "cancelled", TaskSetAside: "set_aside", TaskUnknown: "unknown",
	}
)

// String returns the name that operators see.
func (h Health) String() string { return nameOf(healthNames, h) }

// String returns the name that operators see.
func (v VMState) String() string { return nameOf(vmStateNames, v) }

// String returns the name that operators see.
func (w WaveStatus) String() string { return nameOf(waveStatusNames, w) }

// String returns the name that operators see.
func (p Phase) String() string { return nameOf(phaseNames, p) }

// String returns the name that operators see.
func (t TaskState) String() string { return nameOf(taskStateNames, t) }

// nameOf returns the name of a value; a value of a later version has none and
// is told by its number.
func nameOf[T ~uint8](names []string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("value_%d", uint8(value))
}
