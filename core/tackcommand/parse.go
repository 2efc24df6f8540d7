package tackcommand

import (
	"strings"

	"auburntack/core/tackid"
	"auburntack/core/tacksyntax"
)

const yes = "yes"

// SyntaxError is the position of a syntax error in a command, and what was
// expected there.
type SyntaxError = tacksyntax.Error

var language = tacksyntax.New[grammar]("")

// Parse parses the text of one command. The error is a *SyntaxError.
func Parse(text string) (Command, error) {
	g, err := language.Parse(text)
	if err != nil {
		return Command{}, err
	}
	return g.command(), nil
}

// command returns the parsed command.
func (g *grammar) command() Command {
	switch {
	case g.Create != nil:
		return g.Create.command()
	case g.Delete != nil:
		return Command{DeletePool: &DeletePool{Pool: tackid.Pool(g.Delete.Pool)}}
	case g.Set != nil:
		return g.Set.command()
	case g.Add != nil:
		return g.Add.command()
	case g.Move != nil:
		v := g.Move.VM
		return Command{MoveVM: &MoveVM{VM: tackid.VM(v.VM), Pool: tackid.Pool(v.Pool)}}
	case g.Drain != nil:
		return Command{DrainVM: &DrainVM{VM: tackid.VM(g.Drain.VM)}}
	case g.Undrain != nil:
		return Command{UndrainVM: &UndrainVM{VM: tackid.VM(g.Undrain.VM)}}
	case g.Remove != nil:
		return g.Remove.command()
	case g.Change != nil:
		change := WaveChange(strings.ToLower(g.Change.Change))
		return Command{ChangeWave: &ChangeWave{Wave: tackid.Wave(g.Change.Wave), Change: change}}
	}
	return g.Cancel.command()
}

func (g *createGrammar) command() Command {
	switch {
	case g.Service != nil:
		s := g.Service
		return Command{CreateService: &CreateService{Service: tackid.Service(s.Service), Pool: tackid.Pool(s.Pool)}}
	case g.Wave != nil:
		w := g.Wave
		return Command{CreateWave: &CreateWave{
			Wave: tackid.Wave(w.Wave), Pool: tackid.Pool(w.Pool),
			Action: strings.ToLower(w.Action), MaxParallel: int(w.MaxParallel),
		}}
	case g.Task != nil:
		return Command{CreateTask: g.Task.task()}
	}
	return Command{CreatePool: &CreatePool{Pool: tackid.Pool(g.Pool)}}
}

// task returns the task with its options. If an option is repeated the last one
// counts.
func (g *taskGrammar) task() *CreateTask {
	t := &CreateTask{
		Task: tackid.Task(g.Task), Team: tackid.Team(g.Team), Pool: tackid.Pool(g.Pool),
		Cores: int(g.Cores), MemoryMB: int(g.MemoryMB),
	}
	for _, o := range g.Options {
		o.apply(t)
	}
	return t
}

func (g *optionGrammar) apply(t *CreateTask) {
	switch {
	case g.Class != "":
		// The grammar allows only valid classes.
		t.Class, _ = tackid.ParseClass(strings.ToLower(g.Class))
	case g.Minutes != nil:
		t.Minutes = int(*g.Minutes)
	case g.Idempotent != "":
		t.Idempotent = strings.EqualFold(g.Idempotent, yes)
	case g.Accelerators != nil:
		t.Accelerators = int(*g.Accelerators)
	}
}

func (g *setGrammar) command() Command {
	switch {
	case g.Budget != nil:
		b := g.Budget
		return Command{SetBudget: &SetBudget{
			Service: tackid.Service(b.Service), MinAvailable: b.MinAvailable.N, Percent: b.MinAvailable.Percent,
		}}
	case g.Quota != nil:
		q := g.Quota
		return Command{SetQuota: &SetQuota{Team: tackid.Team(q.Team), Slots: int(q.Slots), Cores: int(q.Cores)}}
	}
	return Command{SetConfig: &SetConfig{Key: string(g.Config.Key), Value: string(g.Config.Value)}}
}

func (g *addGrammar) command() Command {
	if g.VM != nil {
		return Command{AddVM: &AddVM{VM: tackid.VM(g.VM.VM), Pool: tackid.Pool(g.VM.Pool)}}
	}
	p := g.Peer
	return Command{AddPeer: &AddPeer{
		Peer: tackid.Peer(p.Peer), Address: string(p.Address),
		DataCentre: tackid.DataCentre(p.DataCentre), Replica: strings.EqualFold(p.Replica, yes),
	}}
}

func (g *removeGrammar) command() Command {
	if g.Peer != "" {
		return Command{RemovePeer: &RemovePeer{Peer: tackid.Peer(g.Peer)}}
	}
	return Command{RemoveVM: &RemoveVM{VM: tackid.VM(g.VM)}}
}

func (g *cancelGrammar) command() Command {
	if g.Task != "" {
		return Command{CancelTask: &CancelTask{Task: tackid.Task(g.Task)}}
	}
	return Command{ChangeWave: &ChangeWave{Wave: tackid.Wave(g.Wave), Change: WaveCancel}}
}
