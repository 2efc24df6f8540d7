package tackcommand

import (
	"strconv"
	"strings"

	"auburntack/core/tackid"
	"auburntack/core/tacksyntax"
)

// writer collects the words of a command.
type writer struct {
	words []string
}

// Text returns the canonical text of the command, which Parse parses to an
// equal command. The text of an empty command is empty.
func (c Command) Text() string {
	var w writer
	switch {
	case c.CreatePool != nil:
		w.add("create", "pool").name(string(c.CreatePool.Pool))
	case c.DeletePool != nil:
		w.add("delete", "pool").name(string(c.DeletePool.Pool))
	case c.CreateService != nil:
		w.add("create", "service").name(string(c.CreateService.Service)).add("on", "pool").name(string(c.CreateService.Pool))
	case c.SetBudget != nil:
		b := c.SetBudget
		w.add("set", "budget").name(string(b.Service)).add("min_available")
		w.add(tacksyntax.Amount{N: b.MinAvailable, Percent: b.Percent}.String())
	case c.AddVM != nil:
		w.add("add", "vm").name(string(c.AddVM.VM)).add("to", "pool").name(string(c.AddVM.Pool))
	case c.MoveVM != nil:
		w.add("move", "vm").name(string(c.MoveVM.VM)).add("to", "pool").name(string(c.MoveVM.Pool))
	case c.DrainVM != nil:
		w.add("drain", "vm").name(string(c.DrainVM.VM))
	case c.UndrainVM != nil:
		w.add("undrain", "vm").name(string(c.UndrainVM.VM))
	case c.RemoveVM != nil:
		w.add("remove", "vm").name(string(c.RemoveVM.VM))
	default:
		w.otherCommand(c)
	}
	return strings.Join(w.words, " ")
}

// otherCommand writes the commands that Text does not handle itself.
func (w *writer) otherCommand(c Command) {
	switch {
	case c.CreateWave != nil:
		w.wave(c.CreateWave)
	case c.ChangeWave != nil:
		w.add(string(c.ChangeWave.Change), "wave").name(string(c.ChangeWave.Wave))
	case c.SetQuota != nil:
		w.add("set", "quota").name(string(c.SetQuota.Team)).number("slots", c.SetQuota.Slots)
		w.option("cores", c.SetQuota.Cores)
	case c.SetConfig != nil:
		w.add("set", "config", tacksyntax.Quote(c.SetConfig.Key), tacksyntax.Quote(c.SetConfig.Value))
	case c.CreateTask != nil:
		w.task(c.CreateTask)
	case c.CancelTask != nil:
		w.add("cancel", "task").name(string(c.CancelTask.Task))
	case c.AddPeer != nil:
		w.peer(c.AddPeer)
	case c.RemovePeer != nil:
		w.add("remove", "peer").name(string(c.RemovePeer.Peer))
	}
}

func (w *writer) wave(c *CreateWave) {
	w.add("create", "wave").name(string(c.Wave)).add("over", "pool").name(string(c.Pool))
	w.add("action", c.Action).option("max_parallel", c.MaxParallel)
}

func (w *writer) task(c *CreateTask) {
	w.add("create", "task").name(string(c.Task)).add("for").name(string(c.Team)).add("on", "pool").name(string(c.Pool))
	w.number("cores", c.Cores).number("memory_mb", c.MemoryMB)
	if c.Class != tackid.ClassNormal {
		w.add("class", c.Class.String())
	}
	w.option("minutes", c.Minutes)
	if c.Idempotent {
		w.add("idempotent", yes)
	}
	w.option("accelerators", c.Accelerators)
}

func (w *writer) peer(c *AddPeer) {
	w.add("add", "peer").name(string(c.Peer)).add("address", tacksyntax.Quote(c.Address))
	w.add("data_centre").name(string(c.DataCentre))
	if c.Replica {
		w.add("replica", yes)
	}
}

// add writes words without quoting them.
func (w *writer) add(words ...string) *writer {
	w.words = append(w.words, words...)
	return w
}

// number writes a keyword and its number.
func (w *writer) number(keyword string, n int) *writer {
	return w.add(keyword, strconv.Itoa(n))
}

// option writes a keyword and its number, unless the number is 0.
func (w *writer) option(keyword string, n int) *writer {
	if n == 0 {
		return w
	}
	return w.number(keyword, n)
}

// name writes a name, quoted if necessary.
func (w *writer) name(id string) *writer {
	return w.add(tacksyntax.Quote(id))
}
