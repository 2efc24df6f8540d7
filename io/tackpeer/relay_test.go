package tackpeer

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards connections between two VMs. After blackhole, existing connections stay open but
// deliver nothing in the given directions; new connections work.
type relay struct {
	net.Listener
	target string
	mu     sync.Mutex
	open   []*relayedConn
	conns  sync.WaitGroup
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	ends            [2]net.Conn
	forward, answer atomic.Bool
}

func newRelay(t testing.TB, target string) *relay {
	r := &relay{Listener: listen(t), target: target}
	r.conns.Go(r.serve)
	return r
}

func (r *relay) serve() {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &relayedConn{ends: [2]net.Conn{in, out}}
		r.mu.Lock()
		r.open = append(r.open, c)
		r.mu.Unlock()
		r.conns.Go(func() { c.copy(out, in, &c.forward) })
		r.conns.Go(func() { c.copy(in, out, &c.answer) })
	}
}

// copy forwards data. Once forgotten is set, it discards both data and the end of the
// connection.
func (c *relayedConn) copy(to, from net.Conn, forgotten *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if forgotten.Load() && err == nil {
			continue
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil && !forgotten.Load() {
			_ = to.Close()
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) blackhole(forward, answer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		c.forward.Store(forward)
		c.answer.Store(answer)
	}
}

func (r *relay) stop() {
	_ = r.Close()
	r.mu.Lock()
	for _, c := range r.open {
		_ = c.ends[0].Close()
		_ = c.ends[1].Close()
	}
	r.mu.Unlock()
	r.conns.Wait()
}
