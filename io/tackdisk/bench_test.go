package tackdisk

import (
	"fmt"
	"testing"

	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

// entryBytes is the size of the data of one entry in these benchmarks, about that of a command
// with its ID.
const entryBytes = 160

func largeEntries(from tackid.Revision, n int) []tackreplica.Entry {
	list := make([]tackreplica.Entry, n)
	for i := range list {
		list[i] = tackreplica.Entry{
			Index: from + tackid.Revision(i),
			Term:  3,
			Time:  1_800_000_000_000,
			Data:  make([]byte, entryBytes),
		}
	}
	return list
}

func openBench(b *testing.B, folder string) (*Disk, tackreplica.Stored) {
	b.Helper()
	d, stored, err := Open(folder, Options{Peer: "rennes-a-1"})
	if err != nil {
		b.Fatal(err)
	}
	return d, stored
}

func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			d, _ := openBench(b, b.TempDir())
			defer d.Close()
			next := tackid.Revision(1)
			bytes, syncs := d.Bytes(), d.Syncs()
			for b.Loop() {
				if err := d.Save(nil, largeEntries(next, n)); err != nil {
					b.Fatal(err)
				}
				next += tackid.Revision(n)
			}
			b.ReportMetric(float64(d.Bytes()-bytes)/float64(b.N), "disk_B/op")
			b.ReportMetric(float64(d.Syncs()-syncs)/float64(b.N), "syncs/op")
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{1_000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			folder := b.TempDir()
			d, _ := openBench(b, folder)
			for i := range n / 100 {
				if err := d.Save(nil, largeEntries(tackid.Revision(100*i+1), 100)); err != nil {
					b.Fatal(err)
				}
			}
			_ = d.Close()
			for b.Loop() {
				d, stored := openBench(b, folder)
				if len(stored.Entries) != n {
					b.Fatalf("%d entries", len(stored.Entries))
				}
				_ = d.Close()
			}
		})
	}
}

func BenchmarkSaveSnapshot(b *testing.B) {
	b.ReportAllocs()
	d, _ := openBench(b, b.TempDir())
	defer d.Close()
	data := make([]byte, 1<<20)
	index := tackid.Revision(1)
	bytes, syncs := d.Bytes(), d.Syncs()
	for b.Loop() {
		if err := d.SaveSnapshot(tackreplica.Snapshot{Index: index, Term: 1, Data: data}); err != nil {
			b.Fatal(err)
		}
		index++
	}
	b.ReportMetric(float64(d.Bytes()-bytes)/float64(b.N), "disk_B/op")
	b.ReportMetric(float64(d.Syncs()-syncs)/float64(b.N), "syncs/op")
}
