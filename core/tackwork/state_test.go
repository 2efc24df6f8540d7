package tackwork

import (
	"reflect"
	"testing"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackreplica"
	"auburntack/core/tackupkeep"

	"github.com/fxamacker/cbor/v2"
)

// fill sets every field that can be reached from v to a non-zero value, and strings to text.
func fill(v reflect.Value, text string) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), text)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), text)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), text)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, text)
		fill(value, text)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	default:
		if v.CanInt() {
			v.SetInt(7)
		} else {
			v.SetUint(7)
		}
	}
}

// Every field must survive the encoding. When a field of an embedded struct has the same
// key as one of the outer struct, the codec silently drops one of the two: accepted jobs
// were read back with items that needed no processor, so workers refused thousands of
// starts for lack of capacity and long-running items never ran.
func TestLogKeepsEveryField(t *testing.T) {
	assertKept := func(t *testing.T, sent, got any) {
		t.Helper()
		fill(reflect.ValueOf(sent).Elem(), "x")
		data, err := cbor.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		if err := cbor.Unmarshal(data, got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(sent, got) {
			t.Errorf("sent %+v, got %+v", sent, got)
		}
	}
	t.Run("change", func(t *testing.T) { assertKept(t, new(Change), new(Change)) })
	t.Run("job", func(t *testing.T) { assertKept(t, new(tackjob.Job), new(tackjob.Job)) })
	t.Run("request", func(t *testing.T) { assertKept(t, new(Request), new(Request)) })
	t.Run("answer", func(t *testing.T) { assertKept(t, new(Answer), new(Answer)) })
}

// log is a state to which entries are appended.
type log struct {
	State
	index tackid.Revision
}

func (l *log) append(t *testing.T, c Change) Outcome {
	t.Helper()
	l.index++
	_, out, err := l.Apply(tackreplica.Entry{
		Index: l.index, Term: 3, Time: tackclock.Time(l.index) * 100, Data: c.Encode(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

var queue = tackcatalog.QueueKey{Host: "a.example", Prefix: "/q/"}

func newLog(t *testing.T) *log {
	l := &log{}
	l.append(t, Change{Catalog: &tackcatalog.Catalog{
		Version: 4, Source: []byte("four"),
		Queues:   []tackcatalog.Queue{{QueueKey: queue, Service: "names-api", Timeout: 1, Attempts: 2}},
		Services: []tackcatalog.Service{{Name: "names-api"}},
	}})
	return l
}

func twoSteps(id tackjob.ID) *tackjob.Spec {
	return &tackjob.Spec{ID: id, Queue: queue, Steps: []tackjob.Step{{Count: 2}, {Count: 1, After: []int{0}}}}
}

func done(id tackjob.ID, step, index int32) Change {
	return Change{Ends: []tackjob.End{{Item: tackjob.Item{Job: id, Step: step, Index: index}, Run: 1}}}
}

func failed(id tackjob.ID, index int32, run uint64) Change {
	return Change{Ends: []tackjob.End{{Item: tackjob.Item{Job: id, Index: index}, Failed: true, Run: run}}}
}

func TestJobInLog(t *testing.T) {
	const id = "00000000000000a1"
	assertPhase := func(t *testing.T, l *log, want tackjob.Phase) {
		t.Helper()
		if got := l.Jobs.Get(id).Phase; got != want {
			t.Errorf("phase %v, want %v", got, want)
		}
	}
	t.Run("is complete once every item is done", func(t *testing.T) {
		l := newLog(t)
		l.append(t, Change{Submit: twoSteps(id)})
		l.append(t, done(id, 0, 0))
		l.append(t, done(id, 0, 0)) // reported twice
		l.append(t, done(id, 1, 0))
		assertPhase(t, l, tackjob.Open)
		l.append(t, done(id, 0, 1))
		assertPhase(t, l, tackjob.Complete)
	})
	t.Run("fails with the last attempt of an item", func(t *testing.T) {
		l := newLog(t)
		l.append(t, Change{Submit: twoSteps(id)})
		l.append(t, failed(id, 0, 1))
		l.append(t, failed(id, 1, 2))
		assertPhase(t, l, tackjob.Open)
		l.append(t, failed(id, 0, 3))
		assertPhase(t, l, tackjob.Failed)
	})
	// A failed end that was recorded by one leader may be reported again to the next one,
	// if the leader is lost before the worker is told that the end is recorded. Counting
	// it twice fails the job one failed run too early.
	t.Run("does not count an end that is reported twice", func(t *testing.T) {
		l := newLog(t)
		l.append(t, Change{Submit: twoSteps(id)})
		l.append(t, failed(id, 0, 1))
		l.append(t, failed(id, 0, 1))
		assertPhase(t, l, tackjob.Open)
	})
	t.Run("stays one job when submitted again", func(t *testing.T) {
		l := newLog(t)
		first := l.append(t, Change{Submit: twoSteps(id)})
		again := l.append(t, Change{Submit: twoSteps(id)})
		if first.Job == nil || first.Job != again.Job || l.Jobs.Len() != 1 {
			t.Errorf("two jobs: %p and %p", first.Job, again.Job)
		}
	})
	t.Run("is refused once its queue is removed", func(t *testing.T) {
		l := newLog(t)
		l.append(t, Change{Catalog: &tackcatalog.Catalog{Version: 5, Source: []byte("five")}})
		if out := l.append(t, Change{Submit: twoSteps(id)}); !out.NoQueue {
			t.Errorf("accepted into a queue that does not exist: %+v", out)
		}
	})
}

func TestCatalogInLog(t *testing.T) {
	put := func(t *testing.T, l *log, v tackcatalog.Version, source string) Outcome {
		t.Helper()
		return l.append(t, Change{Catalog: &tackcatalog.Catalog{Version: v, Source: []byte(source)}})
	}
	l := newLog(t)
	if out := put(t, l, 4, "four"); out.Conflict {
		t.Error("the same catalog sent again is refused")
	}
	if out := put(t, l, 4, "other"); !out.Conflict {
		t.Error("different content under the stored version is accepted")
	}
	if out := put(t, l, 2, "old"); out.Conflict || l.Catalog.Version != 4 {
		t.Errorf("an older version had an effect: %+v, version %d", out, l.Catalog.Version)
	}
}

func TestSnapshotKeepsState(t *testing.T) {
	l := newLog(t)
	l.append(t, Change{Submit: twoSteps("00000000000000a1")})
	l.append(t, done("00000000000000a1", 0, 1))
	l.append(t, Change{Wave: &tackupkeep.Wave{Number: 1, VMs: []tackid.VM{"m-1"}, MaxDown: 1}})
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(l.State.Jobs, restored.Jobs) || restored.Catalog.Version != 4 || restored.Waves.Get(1) == nil {
		t.Errorf("restored %+v", restored)
	}
}
