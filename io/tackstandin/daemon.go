package tackstandin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// Ports are below the ephemeral range of the kernel, so that no outgoing
	// connection occupies a daemon's port before the daemon listens on it.
	firstPort = 20000
	lastPort  = 30000
)

// allocated holds the addresses that FreePorts has returned.
var allocated = struct {
	sync.Mutex
	ports map[string]bool
}{ports: make(map[string]bool)}

type (
	// Daemon is an auburntackd process of a cluster.
	Daemon struct {
		ID         string
		DataCentre string
		// Replica is set if the daemon has a data folder and a vote.
		Replica  bool
		Caller   string
		Operator string
		Peer     string

		binary string
		folder string
		config string

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{}
		logs   bytes.Buffer
	}

	// DaemonSpec is the data centre and the role of a daemon of a cluster.
	DaemonSpec struct {
		DataCentre string
		Replica    bool
	}

	// Reply is the answer of a daemon's operator port.
	Reply struct {
		Status     int
		Accepted   bool     `json:"accepted"`
		Confirmed  bool     `json:"confirmed"`
		Revision   uint64   `json:"revision"`
		NotInForce []string `json:"not_in_force"`
		Columns    []string `json:"columns"`
		Rows       [][]any  `json:"rows"`
		Error      struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
)

// NewCluster writes the settings file of one daemon for each element of specs to
// folder and appends extra, further settings, to every file. It starts no process.
func NewCluster(binary, folder, extra string, specs []DaemonSpec) ([]*Daemon, error) {
	var daemons []*Daemon
	for i, p := range specs {
		d, err := newDaemon(binary, folder, i+1, p)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
	}
	return daemons, configure(daemons, extra, nil)
}

// NewMember returns a daemon to be added to the cluster. Its settings list all
// daemons of the cluster, whose settings do not list it.
func NewMember(cluster []*Daemon, extra string, p DaemonSpec) (*Daemon, error) {
	d, err := newDaemon(cluster[0].binary, cluster[0].folder, len(cluster)+1, p)
	if err != nil {
		return nil, err
	}
	return d, d.configure(append(slices.Clone(cluster), d), extra, nil)
}

func newDaemon(binary, folder string, number int, p DaemonSpec) (*Daemon, error) {
	ports, err := FreePorts(3)
	if err != nil {
		return nil, err
	}
	return &Daemon{
		ID:         fmt.Sprintf("%s-%d", p.DataCentre, number),
		DataCentre: p.DataCentre,
		Replica:    p.Replica,
		Caller:     ports[0],
		Operator:   ports[1],
		Peer:       ports[2],
		binary:     binary,
		folder:     folder,
	}, nil
}

// UseProxies rewrites the settings files so that every daemon connects to the
// others through proxies that can drop the traffic. Call it before the daemons
// are started.
func UseProxies(daemons []*Daemon, extra string) (*Network, error) {
	proxies, err := newNetwork(daemons)
	if err != nil {
		return nil, err
	}
	return proxies, configure(daemons, extra, proxies)
}

func configure(daemons []*Daemon, extra string, proxies *Network) error {
	for _, d := range daemons {
		if err := d.configure(daemons, extra, proxies); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) configure(all []*Daemon, extra string, proxies *Network) error {
	d.config = filepath.Join(d.folder, d.ID+".ini")
	if err := os.WriteFile(d.config, []byte(d.settings(all, proxies)+extra), 0o644); err != nil {
		return fmt.Errorf("tackstandin: %w", err)
	}
	return nil
}

// FreePorts returns n loopback addresses on which no process listens and that no
// earlier call in this process returned, since the users of those may not
// listen yet or may be restarting.
func FreePorts(n int) ([]string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	var ports []string
	for range 1000 {
		if len(ports) == n {
			return ports, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if allocated.ports[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		allocated.ports[address] = true
		ports = append(ports, address)
	}
	return nil, fmt.Errorf("tackstandin: no %d free ports from %d to %d", n, firstPort, lastPort)
}

func (d *Daemon) settings(all []*Daemon, proxies *Network) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nid = %s\ndata_centre = %s\n", d.ID, d.DataCentre)
	fmt.Fprintf(&b, "[listen]\ncaller = %s\noperator = %s\npeer = %s\n", d.Caller, d.Operator, d.Peer)
	if d.Replica {
		fmt.Fprintf(&b, "[state]\nfolder = %s\nreplica = true\n", d.DataFolder())
	}
	for _, p := range all {
		if p == d {
			continue
		}
		address := p.Peer
		if proxies != nil {
			address = proxies.between[direction{d.ID, p.ID}].Address()
		}
		fmt.Fprintf(&b, "[peer.%s]\ndata_centre = %s\naddress = %s\nreplica = %t\n", p.ID, p.DataCentre, address, p.Replica)
	}
	return b.String()
}

// DataFolder returns the folder in which a replica stores its state.
func (d *Daemon) DataFolder() string {
	return filepath.Join(d.folder, d.ID)
}

// Start starts the process and waits until it logs that it is ready. It returns
// an error if the process ends before, or after timeout.
func (d *Daemon) Start(timeout time.Duration) error {
	cmd := exec.Command(d.binary, "serve", "--config", d.config)
	out, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("tackstandin: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("tackstandin: %w", err)
	}
	ready := make(chan struct{})
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	go func() {
		d.readLogs(out, ready)
		cmd.Wait()
		close(exited)
	}()
	select {
	case <-ready:
		return nil
	case <-exited:
		return fmt.Errorf("tackstandin: %s ended: %s", d.ID, d.Logs())
	case <-time.After(timeout):
		return fmt.Errorf("tackstandin: %s not ready after %v: %s", d.ID, timeout, d.Logs())
	}
}

func (d *Daemon) readLogs(out io.Reader, ready chan<- struct{}) {
	isReady := false
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		d.mu.Lock()
		d.logs.Write(lines.Bytes())
		d.logs.WriteByte('\n')
		d.mu.Unlock()
		if !isReady && strings.Contains(lines.Text(), `msg="ready"`) {
			isReady = true
			close(ready)
		}
	}
}

// Logs returns the log output so far, over all starts of the daemon.
func (d *Daemon) Logs() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.logs.String()
}

// Signal sends the signal s to the process.
func (d *Daemon) Signal(s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Signal(s)
}

// Stop shuts the process down gracefully and returns its exit code.
func (d *Daemon) Stop() int {
	d.Signal(syscall.SIGTERM)
	return d.Wait()
}

// Kill ends the process at once, if it is running.
func (d *Daemon) Kill() {
	if !d.Running() {
		return
	}
	d.Signal(syscall.SIGKILL)
	d.Wait()
}

// Wait waits for the process to end and returns its exit code.
func (d *Daemon) Wait() int {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	<-exited
	return cmd.ProcessState.ExitCode()
}

// Running reports whether the process was started and has not ended.
func (d *Daemon) Running() bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// PID returns the process id.
func (d *Daemon) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// Do sends a command to the operator port.
func (d *Daemon) Do(command, id string) (Reply, error) {
	return call(d.Operator, "/do", command, id)
}

// Ask sends a query to the operator port.
func (d *Daemon) Ask(query string) (Reply, error) {
	return call(d.Operator, "/ask", query, "")
}

func call(operator, path, text, id string) (Reply, error) {
	var reply Reply
	r, err := http.NewRequest("POST", "http://"+operator+path, strings.NewReader(text))
	if err != nil {
		return reply, err
	}
	r.Header.Set("Content-Type", "text/plain")
	if id != "" {
		r.Header.Set("Auburntack-Command-Id", id)
	}
	caller := http.Client{Timeout: 15 * time.Second}
	answer, err := caller.Do(r)
	if err != nil {
		return reply, err
	}
	defer answer.Body.Close()
	reply.Status = answer.StatusCode
	return reply, json.NewDecoder(answer.Body).Decode(&reply)
}

// CPU returns the processor time that the process has used, in milliseconds, and
// its resident memory in KiB.
func (d *Daemon) CPU() (ms int64, residentKiB int64, err error) {
	return ProcessUse(d.PID())
}

// ProcessUse returns the processor time that a process has used, in
// milliseconds, and its resident memory in KiB.
func ProcessUse(pid int) (ms int64, residentKiB int64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	const userTicks, systemTicks, resident = 11, 12, 21
	user, _ := strconv.ParseInt(fields[userTicks], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTicks], 10, 64)
	pages, _ := strconv.ParseInt(fields[resident], 10, 64)
	return (user + system) * 10, pages * int64(os.Getpagesize()) / 1024, nil
}
