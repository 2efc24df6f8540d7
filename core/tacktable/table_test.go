package tacktable

import (
	"maps"
	"slices"
	"testing"

	"auburntack/core/tackclock"

	"pgregory.net/rapid"
)

// Guards against two peers with the same fleet writing different snapshots
// because rows are listed in the order of a map or of their arrival.
func TestTableIsSorted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[string, int]
		want := make(map[string]int)
		for i := range rapid.IntRange(0, 50).Draw(t, "changes") {
			k := rapid.StringMatching("[a-e]{1,2}").Draw(t, "key")
			if rapid.Bool().Draw(t, "put") {
				table.Put(k, i)
				want[k] = i
				continue
			}
			table.Delete(k)
			delete(want, k)
		}
		var keys []string
		var values []int
		for k, v := range table.All() {
			keys = append(keys, k)
			values = append(values, *v)
			if *table.Get(k) != want[k] {
				t.Fatalf("%s is %d, want %d", k, *table.Get(k), want[k])
			}
		}
		if !slices.Equal(keys, slices.Sorted(maps.Keys(want))) || !slices.Equal(values, table.Values()) || table.Len() != len(want) {
			t.Fatalf("lists %v %v, want %v", keys, values, want)
		}
	})
}

// Guards against a row that keeps its old position after it is put again, so
// that Trim removes it too early or keeps others for too long.
func TestRecentKeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const age, limit = 10, 4
		var recent Recent[int, int]
		var want []Stamp[int]
		now := tackclock.Time(0)
		for i := range rapid.IntRange(0, 50).Draw(t, "changes") {
			now = now.Add(tackclock.Duration(rapid.IntRange(0, 5).Draw(t, "pause")))
			k := rapid.IntRange(0, 7).Draw(t, "key")
			recent.Put(now, k, i)
			recent.Trim(now, age, limit)
			want = slices.DeleteFunc(want, func(s Stamp[int]) bool { return s.Key == k || now.Sub(s.Time) > age })
			want = append(want, Stamp[int]{Key: k, Time: now})
			want = want[max(0, len(want)-limit):]
			if got, found := recent.Get(k); !found || got != i || !slices.Equal(recent.Stamps(), want) || len(recent.rows) != len(want) {
				t.Fatalf("keeps %v, want %v", recent.Stamps(), want)
			}
		}
	})
}
