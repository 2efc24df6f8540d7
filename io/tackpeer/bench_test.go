package tackpeer

import (
	"fmt"
	"testing"
	"time"

	"auburntack/core/tackid"
)

// idleWindow is how long BenchmarkIdle counts bytes.
const idleWindow = 20 * time.Second

// total adds up what one VM sent and received.
func (n *node) total() (bytes, messages uint64) {
	for _, s := range n.links.Status() {
		bytes += s.SentBytes + s.ReceivedBytes
		messages += s.SentMessages + s.ReceivedMessages
	}
	return bytes, messages
}

// BenchmarkIdle counts the bytes at the sockets of a mesh that has nothing to
// say. Run it with -benchtime 1x.
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

// BenchmarkMessages sends messages of 200 bytes in bursts and counts the bytes
// at the socket and the time for each.
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
