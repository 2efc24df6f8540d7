package tackstandin

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Proxy forwards connections to one address and can simulate a network
// partition: it then drops all bytes without closing the connections, in both
// directions or only those to the target.
type Proxy struct {
	target   string
	listener net.Listener
	// dropTo drops bytes to the target, dropFrom bytes from it.
	dropTo, dropFrom atomic.Bool

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// NewProxy listens on a loopback address for connections to target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("tackstandin: %w", err)
	}
	p := &Proxy{target: target, listener: listener}
	go p.accept()
	return p, nil
}

// Address returns the address to connect to instead of the target's.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Cut drops all bytes until Heal is called, in both directions or only those to
// the target.
func (p *Proxy) Cut(bothWays bool) {
	p.dropTo.Store(true)
	p.dropFrom.Store(bothWays)
}

// Heal ends a cut. It closes all connections, since the streams of those that
// lost bytes cannot be decoded any more.
func (p *Proxy) Heal() {
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
	p.mu.Unlock()
	p.dropTo.Store(false)
	p.dropFrom.Store(false)
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Heal()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		if !p.track(client, server) {
			return
		}
		go forward(server, client, &p.dropTo)
		go forward(client, server, &p.dropFrom)
	}
}

// track records the connections, to be closed by Heal and Close. If the proxy is
// closed, it closes them and returns false.
func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		for _, c := range conns {
			c.Close()
		}
		return false
	}
	p.conns = append(p.conns, conns...)
	return true
}

// forward copies bytes from one connection to the other and discards them while
// drop is set. If from is closed during that time, to stays open until Heal.
func forward(to, from net.Conn, drop *atomic.Bool) {
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !drop.Load() {
			_, err = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if !drop.Load() {
			to.Close()
		}
		return
	}
}

// Network holds the proxies between the daemons of a cluster, one for each
// ordered pair of daemons.
type Network struct {
	between map[direction]*Proxy
}

type direction struct {
	from, to string
}

// Cut separates the daemon from all others: on all of its connections, or only
// on those that it opened itself, of which both directions are cut.
func (n *Network) Cut(d *Daemon, bothWays bool) {
	for between, proxy := range n.between {
		if between.from == d.ID || bothWays && between.to == d.ID {
			proxy.Cut(true)
		}
	}
}

// Heal ends every cut.
func (n *Network) Heal() {
	for _, proxy := range n.between {
		proxy.Heal()
	}
}

// Close closes every proxy.
func (n *Network) Close() {
	for _, proxy := range n.between {
		proxy.Close()
	}
}

func newNetwork(daemons []*Daemon) (*Network, error) {
	n := &Network{between: make(map[direction]*Proxy)}
	for _, from := range daemons {
		for _, to := range daemons {
			if from == to {
				continue
			}
			proxy, err := NewProxy(to.Peer)
			if err != nil {
				n.Close()
				return nil, err
			}
			n.between[direction{from.ID, to.ID}] = proxy
		}
	}
	return n, nil
}
