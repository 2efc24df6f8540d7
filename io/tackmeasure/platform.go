package tackmeasure

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
)

type (
	// platform simulates the platform: all VMs are serving and no worker runs a task. It counts
	// the bytes of all its connections. Only the leader calls it.
	platform struct {
		server  *http.Server
		address string
		bytes   atomic.Int64
		calls   atomic.Int64
	}

	// countedListener adds the number of bytes sent and received on its connections to bytes.
	countedListener struct {
		net.Listener
		bytes *atomic.Int64
	}
)

func (p *platform) start() error {
	port, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("tackmeasure: %w", err)
	}
	p.address = port.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /workers/{worker}/tasks", p.answer("[]"))
	mux.HandleFunc("GET /vms/{vm}", func(w http.ResponseWriter, r *http.Request) {
		p.answer(fmt.Sprintf(`{"vm":%q,"state":"serving","operation":""}`, r.PathValue("vm")))(w, r)
	})
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(countedListener{port, &p.bytes})
	return nil
}

func (p *platform) stop() { p.server.Close() }

func (p *platform) answer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		p.calls.Add(1)
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, body)
	}
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, bytes: l.bytes}, nil
}
