package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a control node. While it holds, it accepts connections and
// delivers no byte, like a link that is cut; what it holds is delivered on release.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	held     chan struct{} // nil if bytes pass; closed on release
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = make(chan struct{})
}

func (p *proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil {
		close(p.held)
		p.held = nil
	}
}

func (p *proxy) wait() {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held != nil {
		<-held
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(conn net.Conn) {
	defer conn.Close()
	up, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{})
	go func() {
		p.copy(conn, up)
		close(done)
	}()
	p.copy(up, conn)
	<-done
}

// copy copies until the source ends, and then ends the writing side of the destination.
func (p *proxy) copy(dst, src net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := src.Read(buffer)
		p.wait()
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
