package tackwork

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackworkspace"
)

// putKeys puts a catalog in force in which each of the given workspaces has one key.
func (l *log) putKeys(t *testing.T, v tackcatalog.Version, keys map[tackid.Workspace]string) {
	t.Helper()
	c := l.Catalog
	c.Version, c.Source, c.RequiresKeys, c.Workspaces = v, []byte{byte(v)}, true, nil
	for name, key := range keys {
		c.Workspaces = append(c.Workspaces, tackworkspace.Workspace{Name: name, Keys: []tackworkspace.Fingerprint{tackworkspace.FingerprintOf(key)}})
	}
	l.append(t, Change{Catalog: &c})
}

func (l *log) assertHolder(t *testing.T, key string, want tackid.Workspace) {
	t.Helper()
	if got, held := l.Holder(tackworkspace.FingerprintOf(key)); got != want || held != (want != "") {
		t.Errorf("key %q is held by %q, %v, want %q", key, got, held, want)
	}
}

func TestKeysInLog(t *testing.T) {
	const first, second = "00000000000000a1", "00000000000000a2"
	l := newLog(t)
	l.putKeys(t, 5, map[tackid.Workspace]string{"mairies": "m", "postes": "p"})
	l.assertHolder(t, "m", "mairies")
	if out := l.append(t, Change{Submit: twoSteps(first), Key: tackworkspace.FingerprintOf("m")}); out.NoKey || out.Job.Workspace != "mairies" {
		t.Fatalf("submitted with a key of mairies: %+v", out)
	}
	t.Run("an older catalog restores no key", func(t *testing.T) {
		l.putKeys(t, 7, map[tackid.Workspace]string{"postes": "p"})
		l.putKeys(t, 6, map[tackid.Workspace]string{"mairies": "m"})
		l.assertHolder(t, "m", "")
		l.assertHolder(t, "p", "postes")
	})
	// A job must not be accepted with a key that a new catalog removes after the leader
	// has looked the key up but before the job is applied. This requires a second lookup
	// when the job is applied.
	t.Run("a key that was removed meanwhile submits nothing", func(t *testing.T) {
		if out := l.append(t, Change{Submit: twoSteps(second), Key: tackworkspace.FingerprintOf("m")}); !out.NoKey || out.Job != nil {
			t.Errorf("accepted: %+v", out)
		}
	})
	t.Run("an accepted job keeps its workspace", func(t *testing.T) {
		if j := l.Jobs.Get(first); j.Workspace != "mairies" || j.Phase != tackjob.Open {
			t.Errorf("the job is %+v", j)
		}
	})
	t.Run("a snapshot keeps keys and workspaces", func(t *testing.T) {
		data, err := l.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := &log{}
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		restored.assertHolder(t, "m", "")
		restored.assertHolder(t, "p", "postes")
		if j := restored.Jobs.Get(first); j == nil || j.Workspace != "mairies" || !restored.Catalog.RequiresKeys {
			t.Errorf("restored job %+v, keyed %v", j, restored.Catalog.RequiresKeys)
		}
	})
}

// A VM of this release must be able to start from a snapshot and a log written by the
// previous release, which has no workspaces. Otherwise an upgrade refuses all callers or
// cannot read the state.
func TestStateBeforeWorkspacesIsRead(t *testing.T) {
	type oldCatalog struct {
		Version  tackcatalog.Version   `cbor:"1,keyasint"`
		Queues   []map[int]any         `cbor:"2,keyasint"`
		Services []tackcatalog.Service `cbor:"3,keyasint"`
		Source   []byte                `cbor:"5,keyasint"`
	}
	old := oldCatalog{
		Version: 4, Source: []byte("four"), Services: []tackcatalog.Service{{Name: "names-api"}},
		Queues: []map[int]any{{1: "a.example", 2: "/q/", 4: "names-api", 5: 1, 9: 2}},
	}
	const id = "00000000000000a1"
	data, err := cbor.Marshal(map[int]any{1: old, 2: []map[int]any{{1: id, 2: map[int]any{1: "a.example", 2: "/q/"}, 4: []any{map[int]any{1: 2}}, 8: "names-api"}}, 3: nil, 4: 0})
	if err != nil {
		t.Fatal(err)
	}
	l := &log{}
	if err := l.Restore(data); err != nil {
		t.Fatal(err)
	}
	if l.Catalog.RequiresKeys || l.Catalog.Queue(queue) == nil || l.Catalog.Queue(queue).Public {
		t.Errorf("the catalog is %+v", l.Catalog)
	}
	if j := l.Jobs.Get(id); j == nil || j.Workspace != "" {
		t.Errorf("the job is %+v", j)
	}
	if out := l.append(t, Change{Submit: twoSteps("00000000000000a2")}); out.NoKey || out.Job == nil {
		t.Errorf("submitted without a key: %+v", out)
	}
}
