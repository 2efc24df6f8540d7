package tackpeer

import (
	"fmt"
	"testing"
	"time"

	"auburntack/core/tackid"
)

// idleWindow is the time for which BenchmarkIdle counts bytes.
const idleWindow = 20 * time.Second

// total returns the bytes and messages that the VM sent and received on all links.
func (n *node) total() (bytes, messages uint64) {
	for _, s := range n.links.Status() {
		bytes += s.SentBytes + s.ReceivedBytes
		messages += s.SentMessages + s.ReceivedMessages
	}
	return bytes, messages
}

// BenchmarkIdle counts the bytes at the sockets of a mesh without messages. Run it with
// -benchtime 1x.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 8, 12} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			nodes := mesh(b, size, 0)
			var bytes uint64
			for b.Loop() {
				before, _ := nodes[0].total()
				time.Sleep(idleWindow)
				after, _ := nodes[0].total()
				bytes += after - before
			}
			b.ReportMetric(float64(bytes)/float64(b.N)/idleWindow.Seconds(), "B/s/vm")
			for _, n := range nodes {
				n.stop()
			}
		})
	}
}

// BenchmarkMessages sends messages of 200 bytes in bursts and measures the bytes at the socket
// and the time per message.
func BenchmarkMessages(b *testing.B) {
	for _, burst := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("burst=%d", burst), func(b *testing.B) {
			b.ReportAllocs()
			nodes := mesh(b, 2, 0)
			body := make([]byte, 200)
			arrived := make(chan struct{}, burst)
			nodes[1].links.Handle("data", func(tackid.Peer, []byte) { arrived <- struct{}{} })
			before := nodes[0].status("vm-1").SentBytes
			for b.Loop() {
				for range burst {
					if err := nodes[0].links.Send("vm-1", "data", body); err != nil {
						b.Fatal(err)
					}
				}
				for range burst {
					<-arrived
				}
			}
			sent := nodes[0].status("vm-1").SentBytes - before
			messages := float64(b.N * burst)
			b.ReportMetric(float64(sent)/messages, "wire_B/message")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/messages, "ns/message")
			for _, n := range nodes {
				n.stop()
			}
		})
	}
}

// BenchmarkSilence measures the time from when a connection stops delivering data until a new
// connection has replaced it, with the default heartbeat. Run it with -benchtime 20x.
func BenchmarkSilence(b *testing.B) {
	b.ReportAllocs()
	la, lb := listen(b), listen(b)
	r := newRelay(b, lb.Addr().String())
	defer r.stop()
	x := serve(Config{Self: "a", Listener: la, Peers: []Peer{{ID: "b", Address: r.Addr().String()}}})
	defer x.stop()
	y := serve(Config{Self: "b", Listener: lb, Peers: []Peer{{ID: "a", Address: la.Addr().String()}}})
	defer y.stop()
	var longest time.Duration
	for b.Loop() {
		eventually(b, "up", func() bool { return x.up("b") })
		began := time.Now()
		r.blackhole(true, true)
		eventually(b, "found", func() bool { return !x.up("b") })
		eventually(b, "up again", func() bool { return x.up("b") })
		longest = max(longest, time.Since(began))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest_ms")
}
