package tackfleet

import (
	"auburntack/core/tackbudget"
	"auburntack/core/tackentry"
	"auburntack/core/tackrollout"
	"auburntack/core/tackroster"
	"auburntack/core/tacktask"
)

// Names of the packages tackroster, tackrollout, tacktask and tackentry, so
// that users of the whole fleet need only one import. They are documented
// where they are declared.
const (
	HealthUnknown = tackroster.HealthUnknown
	HealthServing = tackroster.HealthServing
	HealthLost    = tackroster.HealthLost

	VMInService   = tackroster.VMInService
	VMDraining    = tackroster.VMDraining
	VMDrained     = tackroster.VMDrained
	VMMaintenance = tackroster.VMMaintenance
	VMSettling    = tackroster.VMSettling
	VMMoving      = tackroster.VMMoving
	VMFailed      = tackroster.VMFailed

	WavePlanned   = tackrollout.WavePlanned
	WaveRunning   = tackrollout.WaveRunning
	WavePaused    = tackrollout.WavePaused
	WaveStopped   = tackrollout.WaveStopped
	WaveFinished  = tackrollout.WaveFinished
	WaveCancelled = tackrollout.WaveCancelled

	PhaseWaiting   = tackrollout.PhaseWaiting
	PhaseDraining  = tackrollout.PhaseDraining
	PhaseOperating = tackrollout.PhaseOperating
	PhaseReturning = tackrollout.PhaseReturning
	PhaseSettling  = tackrollout.PhaseSettling
	PhaseDone      = tackrollout.PhaseDone
	PhaseFailed    = tackrollout.PhaseFailed
	PhaseSkipped   = tackrollout.PhaseSkipped

	ActionReboot  = tackrollout.ActionReboot
	ActionUpgrade = tackrollout.ActionUpgrade

	TaskQueued    = tacktask.TaskQueued
	TaskRunning   = tacktask.TaskRunning
	TaskDone      = tacktask.TaskDone
	TaskCancelled = tacktask.TaskCancelled
	TaskSetAside  = tacktask.TaskSetAside
	TaskUnknown   = tacktask.TaskUnknown

	TryFailed     = tacktask.TryFailed
	TryStopped    = tacktask.TryStopped
	TryNotStarted = tacktask.TryNotStarted

	CodeBudget  = tackentry.CodeBudget
	CodeStale   = tackentry.CodeStale
	CodeExists  = tackentry.CodeExists
	CodeMissing = tackentry.CodeMissing
	CodeInUse   = tackentry.CodeInUse
	CodeState   = tackentry.CodeState
	CodeInvalid = tackentry.CodeInvalid
	CodeQuota   = tackentry.CodeQuota
	CodeReused  = tackentry.CodeReused

	// MaxTries is the maximum number of times that a task is started.
	MaxTries = tacktask.MaxTries
)

// See the packages tackroster, tackrollout, tacktask and tackentry.
type (
	Health      = tackroster.Health
	VMState     = tackroster.VMState
	VM          = tackroster.VM
	Pool        = tackroster.Pool
	Service     = tackroster.Service
	Budget      = tackbudget.Budget
	Observation = tackroster.Observation

	WaveStatus = tackrollout.WaveStatus
	Phase      = tackrollout.Phase
	Action     = tackrollout.Action
	Wave       = tackrollout.Wave
	WaveVM     = tackrollout.WaveVM
	WaveStep   = tackrollout.WaveStep
	WavePhase  = tackrollout.WavePhase
	WaveEnd    = tackrollout.WaveEnd

	TaskState  = tacktask.TaskState
	Task       = tacktask.Task
	TaskChange = tacktask.TaskChange
	TryEnd     = tacktask.TryEnd
	Quota      = tacktask.Quota

	Code         = tackentry.Code
	RefusedError = tackentry.RefusedError
)
