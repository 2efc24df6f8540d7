package tackstandin

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Wire carries connections to one address and can be cut: bytes then vanish
// without either end being told, as behind a network partition. Cutting only
// one way of each connection is possible too.
type Wire struct {
	target string
	port   net.Listener
	// forth cuts what goes to the target, back what comes from it.
	forth, back atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
	done  bool
}

// NewWire listens on a loopback address for connections to target.
func NewWire(target string) (*Wire, error) {
	port, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	w := &Wire{target: target, port: port}
	go w.accept()
	return w, nil
}

// Address returns the address to connect to in place of the target's.
func (w *Wire) Address() string { return w.port.Addr().String() }

// Cut makes bytes vanish, both ways or only those to the target.
func (w *Wire) Cut(bothWays bool) {
	w.forth.Store(true)
	w.back.Store(bothWays)
}

// Heal ends the cut. Connections that lost bytes are closed, as their ends
// could make no sense of what follows.
func (w *Wire) Heal() {
	w.mu.Lock()
	for _, c := range w.conns {
		c.Close()
	}
	w.conns = nil
	w.mu.Unlock()
	w.forth.Store(false)
	w.back.Store(false)
}

// Close ends the wire and its connections.
func (w *Wire) Close() {
	w.port.Close()
	w.mu.Lock()
	w.done = true
	w.mu.Unlock()
	w.Heal()
}

func (w *Wire) accept() {
	for {
		near, err := w.port.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", w.target)
		if err != nil {
			near.Close()
			continue
		}
		if !w.keep(near, far) {
			return
		}
		go carry(far, near, &w.forth)
		go carry(near, far, &w.back)
	}
}

func (w *Wire) keep(conns ...net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		for _, c := range conns {
			c.Close()
		}
		return false
	}
	w.conns = append(w.conns, conns...)
	return true
}

// carry copies from one connection to another, or to nowhere while cut. An end
// that closes during a cut is not told to the other; Heal closes that.
func carry(to, from net.Conn, cut *atomic.Bool) {
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !cut.Load() {
			_, err = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if !cut.Load() {
			to.Close()
		}
		return
	}
}

// Wires are the wires between the daemons of a cluster, one for each direction
// in which connections are made.
type Wires struct {
	between map[direction]*Wire
}

type direction struct {
	from, to string
}

// Cut separates the daemon from all others, both ways or only what it sends
// and is answered on its own connections.
func (w *Wires) Cut(d *Daemon, bothWays bool) {
	for between, wire := range w.between {
		if between.from == d.ID || bothWays && between.to == d.ID {
			wire.Cut(true)
		}
	}
}

// Heal ends every cut.
func (w *Wires) Heal() {
	for _, wire := range w.between {
		wire.Heal()
	}
}

// Close ends every wire.
func (w *Wires) Close() {
	for _, wire := range w.between {
		wire.Close()
	}
}

func newWires(daemons []*Daemon) (*Wires, error) {
	w := &Wires{between: make(map[direction]*Wire)}
	for _, from := range daemons {
		for _, to := range daemons {
			if from == to {
				continue
			}
			wire, err := NewWire(to.Peer)
			if err != nil {
				w.Close()
				return nil, err
			}
			w.between[direction{from.ID, to.ID}] = wire
		}
	}
	return w, nil
}
