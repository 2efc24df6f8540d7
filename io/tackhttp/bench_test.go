package tackhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"auburntack/core/tackid"
	"auburntack/core/tackroute"
)

// bareRelay is the baseline: a minimal reverse proxy over net/http.
type bareRelay struct {
	transport http.Transport
	backends  []string
	next      atomic.Uint64
}

func (p *bareRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme = "http"
	out.URL.Host = p.backends[p.next.Add(1)%uint64(len(p.backends))]
	out.RequestURI = ""
	resp, err := p.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, resp.Body)
}

// serve serves h on loopback until the test or benchmark ends.
func serve(b testing.TB, h http.Handler) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	b.Cleanup(func() { server.Shutdown(context.Background()) })
	return l.Addr().String()
}

// answer100Bytes answers every request with 100 bytes.
func answer100Bytes(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	io.WriteString(w, strings.Repeat("x", 100))
}

// measurement holds the latencies of requests and the CPU time that they took.
type measurement struct {
	latencies []time.Duration
	cpu       time.Duration // of the whole process
}

func (l *measurement) quantile(q float64) time.Duration {
	slices.Sort(l.latencies)
	return l.latencies[int(q*float64(len(l.latencies)-1))]
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// run sends n requests from concurrent callers, each of which has one request
// in flight at a time.
func (l *measurement) run(b testing.TB, client *http.Client, address string, callers, n int) {
	var running sync.WaitGroup
	var mu sync.Mutex
	before := cpuTime()
	for range callers {
		running.Go(func() {
			latencies := make([]time.Duration, 0, n/callers)
			for range n / callers {
				start := time.Now()
				resp, err := client.Get("http://" + address + "/names/kemper")
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Errorf("status %d", resp.StatusCode)
					return
				}
				latencies = append(latencies, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			l.latencies = append(l.latencies, latencies...)
		})
	}
	running.Wait()
	l.cpu += cpuTime() - before
}

// BenchmarkAgainstRelay compares the caller port with a bare relay and with
// direct calls, in alternating rounds. Callers, backend servers and the tested
// code share one process, so the CPU time of the direct calls is subtracted.
func BenchmarkAgainstRelay(b *testing.B) {
	var backends []string
	for range 10 {
		backends = append(backends, serve(b, http.HandlerFunc(answer100Bytes)))
	}
	bare := &bareRelay{backends: backends}
	bare.transport.MaxIdleConnsPerHost = 64
	bare.transport.DisableCompression = true
	b.Cleanup(bare.transport.CloseIdleConnections)
	e := newEntry(b, Config{Limits: Limits{MaxIdleConns: 128}}, backends...)
	addresses := []string{backends[0], serve(b, bare), e.address}
	for _, callers := range []int{1, 64, 512} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}}
			defer client.CloseIdleConnections()
			loads := make([]measurement, len(addresses))
			var discard measurement
			for _, address := range addresses {
				discard.run(b, client, address, callers, 4*callers)
			}
			const rounds = 10
			for range rounds {
				for i, address := range addresses {
					loads[i].run(b, client, address, callers, max(callers, b.N/rounds))
				}
			}
			direct, other, own := &loads[0], &loads[1], &loads[2]
			for _, q := range []float64{0.5, 0.99} {
				added := own.quantile(q) - direct.quantile(q)
				relayed := other.quantile(q) - direct.quantile(q)
				b.ReportMetric(float64(added)/float64(relayed), fmt.Sprintf("p%v_added_ratio", q*100))
				b.ReportMetric(float64(added.Microseconds()), fmt.Sprintf("p%v_added_us", q*100))
			}
			per := func(l *measurement) float64 { return float64(l.cpu.Microseconds()) / float64(len(l.latencies)) }
			b.ReportMetric((per(own)-per(direct))/(per(other)-per(direct)), "cpu_added_ratio")
			b.ReportMetric(per(own)-per(direct), "cpu_added_us")
			b.ReportMetric(per(other)-per(direct), "relay_cpu_added_us")
		})
	}
}

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct {
	header http.Header
	status int
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(status int)      { w.status = status }

// allocations returns the number of allocations for one GET with the given
// handler, including those of the backend server and the transport.
func allocations(t testing.TB, h http.Handler) float64 {
	t.Helper()
	w := &discardWriter{header: make(http.Header)}
	return testing.AllocsPerRun(2000, func() {
		clear(w.header)
		r, err := http.NewRequest(http.MethodGet, "/names/kemper", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.RequestURI = "/names/kemper"
		h.ServeHTTP(w, r)
		if w.status != http.StatusOK {
			t.Fatalf("status %d", w.status)
		}
	})
}

// TestAllocations limits the allocations per request relative to those of the
// bare relay, which depend on the version of net/http.
func TestAllocations(t *testing.T) {
	backend := serve(t, http.HandlerFunc(answer100Bytes))
	bare := &bareRelay{backends: []string{backend}}
	t.Cleanup(bare.transport.CloseIdleConnections)
	table := &tackroute.Table{Services: map[tackid.Service][]tackroute.Candidate{
		"names": {{BackendServer: "names-1", Address: backend, Slots: 8}},
	}}
	h := New(Config{Routes: func() *tackroute.Table { return table }})
	t.Cleanup(func() { h.Shutdown(context.Background()) })
	own, other := allocations(t, h), allocations(t, bare)
	t.Logf("%v allocations a request, %v by a bare relay", own, other)
	if own > other+maxExtraAllocations {
		t.Errorf("%v allocations a request, %v by a bare relay, bound %v more", own, other, maxExtraAllocations)
	}
}

// maxExtraAllocations is the maximum number of allocations per request above
// those of the bare relay.
const maxExtraAllocations = 19
