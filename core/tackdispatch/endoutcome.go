package tackdispatch

// endOutcome says what becomes of the end of a run that a worker lists.
type endOutcome uint8

const (
	// endToLog: the log must hold the end before the worker may forget it.
	endToLog endOutcome = iota
	// endNotCounted: the run ended without a result, so its item waits for the next start.
	endNotCounted
	// endOfDoneItem: the log already holds an end of the item.
	endOfDoneItem
	// endOfClosedJob: the job is done, cancelled, failed or unknown.
	endOfClosedJob
	// endOfNoItem: the job has no such item.
	endOfNoItem
	// endOfClosedStep: the step still waits for another one.
	endOfClosedStep
)

var endOutcomeNames = [...]string{
	"to the log", "not counted", "item is done", "job is closed or unknown", "no such item", "step is not open",
}

// String returns the name of the outcome.
func (o endOutcome) String() string {
	return endOutcomeNames[o]
}
