package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// link connects one executor with the nodes that serve ctrl, by a proxy on a loopback
// address for each of them. While it is cut one way, what the nodes send doesn't reach the
// executor, and what the executor sends on open connections reaches the nodes. A new
// connection needs both ways, so nothing is passed on from one that begins during the cut.
type link struct {
	mu      sync.Mutex
	cut     chan struct{} // closed at the end of the cut; nil if there is none
	proxies map[string]string
}

func newLink(rec *recorder, h *host) (*link, error) {
	l := &link{proxies: make(map[string]string)}
	for i, control := range h.controls() {
		listener, err := net.Listen("tcp", h.address(4, i+1)+":18723")
		if err != nil {
			return nil, err
		}
		l.proxies[control] = listener.Addr().String()
		go l.serve(listener, control)
	}
	return l, nil
}

func (l *link) serve(listener net.Listener, control string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.pass(conn, control)
	}
}

func (l *link) pass(executor net.Conn, control string) {
	defer executor.Close()
	l.awaitEnd()
	node, err := net.Dial("tcp", control)
	if err != nil {
		return
	}
	defer node.Close()
	go copyAll(node, executor, func() {})
	copyAll(executor, node, l.awaitEnd)
}

// copyAll passes on what arrives, after wait has returned.
func copyAll(to, from net.Conn, wait func()) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			wait()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) awaitEnd() {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

// cutOneWay cuts the way from the nodes to the executor for a time.
func (l *link) cutOneWay(d time.Duration) {
	cut := make(chan struct{})
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
	time.AfterFunc(d, func() {
		l.mu.Lock()
		l.cut = nil
		l.mu.Unlock()
		close(cut)
	})
}

func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if proxy, ok := l.proxies[address]; ok {
		address = proxy
	}
	return (&net.Dialer{Timeout: answerTimeout}).DialContext(ctx, network, address)
}
