package tackhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	workTime         = 20 * time.Millisecond // time for which a request occupies a slot
	slotsPerServer   = 8
	overloadServers  = 4
	callerTimeout    = time.Second
	overloadDuration = 3 * time.Second
	urgentEvery      = 20 // one in this many requests is urgent
)

// slottedBackend returns a backend server with a fixed number of slots. Like
// many real ones, it completes requests whose caller is gone.
func slottedBackend() http.HandlerFunc {
	slots := make(chan struct{}, slotsPerServer)
	return func(w http.ResponseWriter, _ *http.Request) {
		slots <- struct{}{}
		time.Sleep(workTime)
		<-slots
		io.WriteString(w, "done")
	}
}

// loadResult counts the outcomes of an open-loop load, whose requests are sent
// at fixed times without waiting for answers.
type loadResult struct {
	good, refused, late, urgent, urgentGood atomic.Int64
	slowestUrgent                           atomic.Int64 // nanoseconds
}

// offer sends rate requests per second, evenly spaced, for overloadDuration.
func (o *loadResult) offer(client *http.Client, address string, rate int) {
	var running sync.WaitGroup
	begin := time.Now()
	for n := 0; ; n++ {
		due := begin.Add(time.Duration(n) * time.Second / time.Duration(rate))
		if due.Sub(begin) >= overloadDuration {
			break
		}
		time.Sleep(time.Until(due))
		running.Go(func() { o.send(client, address, n%urgentEvery == 0) })
	}
	running.Wait()
}

func (o *loadResult) send(client *http.Client, address string, urgent bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/names/x", nil)
	if err != nil {
		return
	}
	req.Header.Set(headerTimeout, fmt.Sprint(callerTimeout.Milliseconds()))
	if urgent {
		req.Header.Set(headerClass, "urgent")
		o.urgent.Add(1)
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		o.late.Add(1)
		return
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		o.refused.Add(1)
		return
	}
	o.good.Add(1)
	if urgent {
		o.urgentGood.Add(1)
		for took, old := int64(time.Since(start)), o.slowestUrgent.Load(); took > old; old = o.slowestUrgent.Load() {
			if o.slowestUrgent.CompareAndSwap(old, took) {
				break
			}
		}
	}
}

// BenchmarkGoodput offers multiples of the capacity of the backend servers to
// the caller port and to a bare relay. Run it with -benchtime 1x.
func BenchmarkGoodput(b *testing.B) {
	capacity := measureCapacity(b)
	b.Logf("capacity %d requests a second", capacity)
	for _, times := range []float64{0.5, 1, 2, 5} {
		for _, target := range []string{"relay", "caller_port"} {
			b.Run(fmt.Sprintf("%v_times/%s", times, target), func(b *testing.B) {
				var backends []string
				for range overloadServers {
					backends = append(backends, serve(b, slottedBackend()))
				}
				address := overloadTarget(b, target, backends)
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 4096}}
				defer client.CloseIdleConnections()
				for range b.N {
					var o loadResult
					begin := time.Now()
					o.offer(client, address, int(times*float64(capacity)))
					span := time.Since(begin).Seconds() * float64(capacity)
					b.ReportMetric(float64(o.good.Load())/span, "goodput/capacity")
					b.ReportMetric(float64(o.refused.Load())/span, "refused/capacity")
					b.ReportMetric(float64(o.late.Load())/span, "late/capacity")
					b.ReportMetric(float64(o.urgentGood.Load())/float64(o.urgent.Load()), "urgent_good")
					b.ReportMetric(float64(o.slowestUrgent.Load())/1e6, "slowest_urgent_ms")
				}
			})
		}
	}
}

// measureCapacity returns how many requests per second the backend servers
// answer when they are called directly with all slots in use.
func measureCapacity(b *testing.B) int {
	var done atomic.Int64
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * slotsPerServer}}
	defer client.CloseIdleConnections()
	begin := time.Now()
	for range overloadServers {
		address := serve(b, slottedBackend())
		for range 2 * slotsPerServer {
			running.Go(func() {
				for time.Since(begin) < overloadDuration {
					resp, err := client.Get("http://" + address)
					if err != nil {
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					done.Add(1)
				}
			})
		}
	}
	running.Wait()
	return int(float64(done.Load()) / time.Since(begin).Seconds())
}

func overloadTarget(b *testing.B, target string, backends []string) string {
	if target == "relay" {
		bare := &bareRelay{backends: backends}
		bare.transport.MaxIdleConnsPerHost = 64
		b.Cleanup(bare.transport.CloseIdleConnections)
		return serve(b, bare)
	}
	e := newEntry(b, Config{}, backends...)
	for i := range e.table.Services["names"] {
		e.table.Services["names"][i].Slots = slotsPerServer
	}
	return e.address
}
