package tackcommand

import "auburntack/core/tacksyntax"

// The grammar of the command language. A word is a keyword only where the
// grammar expects one, so names may be equal to keywords.
type (
	grammar struct {
		Create  *createGrammar     `parser:"'create' @@"`
		Delete  *deleteGrammar     `parser:"| 'delete' @@"`
		Set     *setGrammar        `parser:"| 'set' @@"`
		Add     *addGrammar        `parser:"| 'add' @@"`
		Move    *moveGrammar       `parser:"| 'move' @@"`
		Drain   *vmGrammar         `parser:"| 'drain' @@"`
		Undrain *vmGrammar         `parser:"| 'undrain' @@"`
		Remove  *removeGrammar     `parser:"| 'remove' @@"`
		Change  *changeWaveGrammar `parser:"| @@"`
		Cancel  *cancelGrammar     `parser:"| 'cancel' @@"`
	}

	createGrammar struct {
		Pool    tacksyntax.Name `parser:"'pool' @(Word | Quoted)"`
		Service *serviceGrammar `parser:"| 'service' @@"`
		Wave    *waveGrammar    `parser:"| 'wave' @@"`
		Task    *taskGrammar    `parser:"| 'task' @@"`
	}

	deleteGrammar struct {
		Pool tacksyntax.Name `parser:"'pool' @(Word | Quoted)"`
	}

	serviceGrammar struct {
		Service tacksyntax.Name `parser:"@(Word | Quoted)"`
		Pool    tacksyntax.Name `parser:"'on' 'pool' @(Word | Quoted)"`
	}

	waveGrammar struct {
		Wave        tacksyntax.Name   `parser:"@(Word | Quoted)"`
		Pool        tacksyntax.Name   `parser:"'over' 'pool' @(Word | Quoted)"`
		Action      string            `parser:"'action' @('reboot' | 'upgrade')"`
		MaxParallel tacksyntax.Number `parser:"('max_parallel' @Word)?"`
	}

	taskGrammar struct {
		Task     tacksyntax.Name   `parser:"@(Word | Quoted)"`
		Team     tacksyntax.Name   `parser:"'for' @(Word | Quoted)"`
		Pool     tacksyntax.Name   `parser:"'on' 'pool' @(Word | Quoted)"`
		Cores    tacksyntax.Number `parser:"'cores' @Word"`
		MemoryMB tacksyntax.Number `parser:"'memory_mb' @Word"`
		Options  []*optionGrammar  `parser:"@@*"`
	}

	optionGrammar struct {
		Class        string             `parser:"'class' @('urgent' | 'normal' | 'batch')"`
		Minutes      *tacksyntax.Number `parser:"| 'minutes' @Word"`
		Idempotent   string             `parser:"| 'idempotent' @('yes' | 'no')"`
		Accelerators *tacksyntax.Number `parser:"| 'accelerators' @Word"`
	}

	setGrammar struct {
		Budget *budgetGrammar `parser:"'budget' @@"`
		Quota  *quotaGrammar  `parser:"| 'quota' @@"`
		Config *configGrammar `parser:"| 'config' @@"`
	}

	budgetGrammar struct {
		Service      tacksyntax.Name   `parser:"@(Word | Quoted)"`
		MinAvailable tacksyntax.Amount `parser:"'min_available' @Word"`
	}

	quotaGrammar struct {
		Team  tacksyntax.Name   `parser:"@(Word | Quoted)"`
		Slots tacksyntax.Number `parser:"'slots' @Word"`
		Cores tacksyntax.Number `parser:"('cores' @Word)?"`
	}

	configGrammar struct {
		Key   tacksyntax.Name  `parser:"@(Word | Quoted)"`
		Value tacksyntax.Value `parser:"@(Word | Quoted)"`
	}

	addGrammar struct {
		VM   *toPoolGrammar  `parser:"'vm' @@"`
		Peer *addPeerGrammar `parser:"| 'peer' @@"`
	}

	moveGrammar struct {
		VM toPoolGrammar `parser:"'vm' @@"`
	}

	toPoolGrammar struct {
		VM   tacksyntax.Name `parser:"@(Word | Quoted)"`
		Pool tacksyntax.Name `parser:"'to' 'pool' @(Word | Quoted)"`
	}

	addPeerGrammar struct {
		Peer       tacksyntax.Name `parser:"@(Word | Quoted)"`
		Address    tacksyntax.Name `parser:"'address' @(Word | Quoted)"`
		DataCentre tacksyntax.Name `parser:"'data_centre' @(Word | Quoted)"`
		Replica    string          `parser:"('replica' @('yes' | 'no'))?"`
	}

	vmGrammar struct {
		VM tacksyntax.Name `parser:"'vm' @(Word | Quoted)"`
	}

	removeGrammar struct {
		VM   tacksyntax.Name `parser:"'vm' @(Word | Quoted)"`
		Peer tacksyntax.Name `parser:"| 'peer' @(Word | Quoted)"`
	}

	changeWaveGrammar struct {
		Change string          `parser:"@('start' | 'pause' | 'resume')"`
		Wave   tacksyntax.Name `parser:"'wave' @(Word | Quoted)"`
	}

	cancelGrammar struct {
		Wave tacksyntax.Name `parser:"'wave' @(Word | Quoted)"`
		Task tacksyntax.Name `parser:"| 'task' @(Word | Quoted)"`
	}
)
