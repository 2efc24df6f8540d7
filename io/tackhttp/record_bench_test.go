package tackhttp

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tackreplica"
	"auburntack/io/tackdisk"
)

// jobChanges returns the two changes of a job with a key, in their encoding in
// the log. The answer has a body of 100 bytes and 4 header fields.
func jobChanges(b testing.TB, n int) [2][]byte {
	b.Helper()
	id := tackledger.ID{Service: "names-api", Team: "post", Key: tackid.Key(fmt.Sprintf("%032x", n))}
	request := tackid.RequestID(fmt.Sprintf("rennes-a-1-0123456789ab-%d", n))
	changes := [2]tackledger.Change{
		{Begin: &tackledger.Begin{ID: id, Fingerprint: tackledger.NewFingerprint("POST", "/names-api/x", nil),
			Request: request, Peer: "rennes-a-1", Instance: 1 << 60, Timeout: 40_000}},
		{Finish: &tackledger.Finish{ID: id, Request: request, Outcome: tackledger.OutcomeAnswered,
			Answer: tackledger.Answer{Status: 200, Body: make([]byte, 100), Header: []tackledger.Field{
				{Name: "Content-Length", Values: []string{"100"}},
				{Name: "Content-Type", Values: []string{"application/json"}},
				{Name: "Date", Values: []string{"Wed, 02 Dec 2026 18:00:00 GMT"}},
				{Name: "Etag", Values: []string{`"0123456789abcdef"`}},
			}}}},
	}
	var out [2][]byte
	for i, c := range changes {
		data, err := cbor.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		out[i] = data
	}
	return out
}

// BenchmarkRecordOnDisk appends the two records of each job to the log of one
// replica, with several jobs per sync.
func BenchmarkRecordOnDisk(b *testing.B) {
	for _, jobs := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("%d_jobs_a_sync", jobs), func(b *testing.B) {
			disk, _, err := tackdisk.Open(b.TempDir(), tackdisk.Options{Peer: "rennes-a-1"})
			if err != nil {
				b.Fatal(err)
			}
			defer disk.Close()
			b.ReportAllocs()
			index, length := tackid.Revision(0), 0
			for b.Loop() {
				for half := range 2 {
					var entries []tackreplica.Entry
					for n := range jobs {
						data := jobChanges(b, n)[half]
						length += len(data)
						index++
						entries = append(entries, tackreplica.Entry{Index: index, Term: 1, Data: data})
					}
					if err := disk.Save(nil, entries); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*jobs), "us/job")
			b.ReportMetric(float64(length)/float64(b.N*jobs), "bytes/job")
		})
	}
}
