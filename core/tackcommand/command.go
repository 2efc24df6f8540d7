// Package tackcommand defines the commands of operators and parses their text
// form. The replicated log holds commands as typed values.
package tackcommand

import "auburntack/core/tackid"

type (
	// Command has exactly one field set. It is encoded in the replicated log,
	// so the number of a field must never be reused for another meaning.
	Command struct {
		CreatePool    *CreatePool    `cbor:"1,keyasint,omitempty"`
		DeletePool    *DeletePool    `cbor:"2,keyasint,omitempty"`
		CreateService *CreateService `cbor:"3,keyasint,omitempty"`
		SetBudget     *SetBudget     `cbor:"4,keyasint,omitempty"`
		AddVM         *AddVM         `cbor:"5,keyasint,omitempty"`
		MoveVM        *MoveVM        `cbor:"6,keyasint,omitempty"`
		DrainVM       *DrainVM       `cbor:"7,keyasint,omitempty"`
		UndrainVM     *UndrainVM     `cbor:"8,keyasint,omitempty"`
		RemoveVM      *RemoveVM      `cbor:"9,keyasint,omitempty"`
		CreateWave    *CreateWave    `cbor:"10,keyasint,omitempty"`
		ChangeWave    *ChangeWave    `cbor:"11,keyasint,omitempty"`
		SetQuota      *SetQuota      `cbor:"12,keyasint,omitempty"`
		SetConfig     *SetConfig     `cbor:"13,keyasint,omitempty"`
		CreateTask    *CreateTask    `cbor:"14,keyasint,omitempty"`
		CancelTask    *CancelTask    `cbor:"15,keyasint,omitempty"`
		AddPeer       *AddPeer       `cbor:"16,keyasint,omitempty"`
		RemovePeer    *RemovePeer    `cbor:"17,keyasint,omitempty"`
	}

	// CreatePool is "create pool P".
	CreatePool struct {
		Pool tackid.Pool `cbor:"1,keyasint"`
	}
	// DeletePool is "delete pool P".
	DeletePool struct {
		Pool tackid.Pool `cbor:"1,keyasint"`
	}
	// CreateService is "create service S on pool P".
	CreateService struct {
		Service tackid.Service `cbor:"1,keyasint"`
		Pool    tackid.Pool    `cbor:"2,keyasint"`
	}
	// SetBudget is "set budget S min_available N[%]".
	SetBudget struct {
		Service      tackid.Service `cbor:"1,keyasint"`
		MinAvailable int            `cbor:"2,keyasint"`
		Percent      bool           `cbor:"3,keyasint,omitempty"`
	}
	// AddVM is "add vm V to pool P".
	AddVM struct {
		VM   tackid.VM   `cbor:"1,keyasint"`
		Pool tackid.Pool `cbor:"2,keyasint"`
	}
	// MoveVM is "move vm V to pool P".
	MoveVM struct {
		VM   tackid.VM   `cbor:"1,keyasint"`
		Pool tackid.Pool `cbor:"2,keyasint"`
	}
	// DrainVM is "drain vm V".
	DrainVM struct {
		VM tackid.VM `cbor:"1,keyasint"`
	}
	// UndrainVM is "undrain vm V".
	UndrainVM struct {
		VM tackid.VM `cbor:"1,keyasint"`
	}
	// RemoveVM is "remove vm V".
	RemoveVM struct {
		VM tackid.VM `cbor:"1,keyasint"`
	}
	// CreateWave is "create wave W over pool P action A [max_parallel N]".
	CreateWave struct {
		Wave        tackid.Wave `cbor:"1,keyasint"`
		Pool        tackid.Pool `cbor:"2,keyasint"`
		Action      string      `cbor:"3,keyasint"`
		MaxParallel int         `cbor:"4,keyasint,omitempty"`
	}
	// ChangeWave is "start|pause|resume|cancel wave W".
	ChangeWave struct {
		Wave   tackid.Wave `cbor:"1,keyasint"`
		Change WaveChange  `cbor:"2,keyasint"`
	}
	// SetQuota is "set quota TEAM slots N [cores N]".
	SetQuota struct {
		Team  tackid.Team `cbor:"1,keyasint"`
		Slots int         `cbor:"2,keyasint"`
		Cores int         `cbor:"3,keyasint,omitempty"`
	}
	// SetConfig is "set config KEY VALUE".
	SetConfig struct {
		Key   string `cbor:"1,keyasint"`
		Value string `cbor:"2,keyasint"`
	}
	// CreateTask is "create task T for TEAM on pool P cores N memory_mb N
	// [class C] [minutes N] [idempotent yes|no] [accelerators N]".
	CreateTask struct {
		Task         tackid.Task  `cbor:"1,keyasint"`
		Team         tackid.Team  `cbor:"2,keyasint"`
		Pool         tackid.Pool  `cbor:"3,keyasint"`
		Cores        int          `cbor:"4,keyasint"`
		MemoryMB     int          `cbor:"5,keyasint"`
		Class        tackid.Class `cbor:"6,keyasint,omitempty"`
		Minutes      int          `cbor:"7,keyasint,omitempty"`
		Idempotent   bool         `cbor:"8,keyasint,omitempty"`
		Accelerators int          `cbor:"9,keyasint,omitempty"`
	}
	// CancelTask is "cancel task T".
	CancelTask struct {
		Task tackid.Task `cbor:"1,keyasint"`
	}
	// AddPeer is "add peer P address A data_centre D [replica yes|no]". It
	// changes the membership of the system itself, not the fleet.
	AddPeer struct {
		Peer       tackid.Peer       `cbor:"1,keyasint"`
		Address    string            `cbor:"2,keyasint"`
		DataCentre tackid.DataCentre `cbor:"3,keyasint"`
		Replica    bool              `cbor:"4,keyasint,omitempty"`
	}
	// RemovePeer is "remove peer P".
	RemovePeer struct {
		Peer tackid.Peer `cbor:"1,keyasint"`
	}

	// WaveChange is a change of a wave by an operator.
	WaveChange string
)

const (
	// WaveStart starts a planned wave.
	WaveStart WaveChange = "start"
	// WavePause pauses a running wave.
	WavePause WaveChange = "pause"
	// WaveResume resumes a paused or stopped wave.
	WaveResume WaveChange = "resume"
	// WaveCancel ends a wave.
	WaveCancel WaveChange = "cancel"
)
