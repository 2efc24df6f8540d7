package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. They are the same on all machines, each of which has a loopback
// address of its own.
const (
	frontendPort  = 18724
	readinessPort = 18722
	controlPort   = 18723
	firstPort     = 17160
	lastPort      = 17175
	cloudPort     = 18721
	restartDelay  = time.Second
)

// host runs the processes of the system as the deploy file says, with settings files like
// those of a small deployment, and starts a process again that has ended by itself.
type host struct {
	rec     *recorder
	root    string // the repository
	folder  string // for data and settings, temporary
	network int    // second byte of the loopback addresses
	advisor string // address of the placement advisor, or empty
	nodes   []*node
	mu      sync.Mutex
	closing bool
	ends    map[string]int // how often processes ended by themselves, by machine
	group   sync.WaitGroup
}

type node struct {
	name    string
	ip      string
	control bool
	starts  int
	cmd     *exec.Cmd
}

// newHost picks a range of loopback addresses whose ports are free.
func newHost(rec *recorder, root string, controls, entries int) (*host, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	h := &host{rec: rec, root: root, folder: folder, ends: make(map[string]int)}
	for network := 40 + os.Getpid()%100; network < 250; network++ {
		if portsFree(network, controls+entries) {
			h.network = network
			break
		}
	}
	if h.network == 0 {
		return nil, fmt.Errorf("no free range of loopback addresses")
	}
	for i := range controls + entries {
		n := &node{ip: h.address(0, i+1), control: i < controls, name: fmt.Sprintf("client-%d", i-controls+1)}
		if n.control {
			n.name = fmt.Sprintf("core-%d", i+1)
		}
		h.nodes = append(h.nodes, n)
	}
	return h, nil
}

func portsFree(network, nodes int) bool {
	for i := range nodes {
		for _, port := range []int{frontendPort, readinessPort, controlPort, firstPort, firstPort + 1, cloudPort, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (h *host) address(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", h.network, group, i) }

func (h *host) list(control bool, port int) []string {
	var list []string
	for _, n := range h.nodes {
		if n.control == control {
			list = append(list, fmt.Sprintf("%s:%d", n.ip, port))
		}
	}
	return list
}

func (h *host) controls() []string { return h.list(true, controlPort) }
func (h *host) entries() []string  { return h.list(false, frontendPort) }
func (h *host) cloud() string      { return fmt.Sprintf("%s:%d", h.address(2, 1), cloudPort) }

func (h *host) startAll() error {
	for _, n := range h.nodes {
		if err := h.start(n); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) start(n *node) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		return nil
	}
	path := filepath.Join(h.folder, n.name+".yaml")
	if err := os.WriteFile(path, []byte(h.settings(n)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(h.root, "target/auburntackd"), "platform", "--config", "deploy/tunables.ini")
	cmd.Dir = h.root
	cmd.Env = []string{"AUBURNTACK_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	n.starts++
	h.rec.printf("platform: started %s (start %d)", n.name, n.starts)
	h.group.Add(1)
	go h.watch(n, cmd)
	return nil
}

// watch starts the process again, with the settings in effect then, if it ends by itself.
func (h *host) watch(n *node, cmd *exec.Cmd) {
	defer h.group.Done()
	err := cmd.Wait()
	h.mu.Lock()
	closing := h.closing
	if !closing {
		h.ends[n.name]++
	}
	h.mu.Unlock()
	if closing {
		return
	}
	h.rec.printf("platform: %s ended by itself: %v; its last line: %s", n.name, err, h.lastLine(n))
	time.Sleep(restartDelay)
	if err := h.start(n); err != nil {
		h.rec.printf("platform: %s doesn't start: %v", n.name, err)
	}
}

func (h *host) lastLine(n *node) string {
	data, err := os.ReadFile(filepath.Join(h.folder, n.name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.ToValidUTF8(lines[len(lines)-1], "?")
}

// endsByThemselves returns how often processes ended by themselves, and on how many
// machines.
func (h *host) endsByThemselves() (ends, machines int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.ends {
		ends += n
	}
	return ends, len(h.ends)
}

// close ends all processes that it started and removes their files.
func (h *host) close(logs io.Writer) {
	h.mu.Lock()
	h.closing = true
	for _, n := range h.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill() // it may have ended
		}
	}
	h.mu.Unlock()
	h.group.Wait()
	if logs != nil {
		for _, n := range h.nodes {
			data, _ := os.ReadFile(filepath.Join(h.folder, n.name+".log"))
			fmt.Fprintf(logs, "== %s\n%s\n", n.name, data)
		}
	}
	os.RemoveAll(h.folder)
}

func (h *host) settings(n *node) string {
	role, class, data, disk := "client", "client", "null", 0
	listen := fmt.Sprintf("  frontend: \"%s:%d\"\n  readiness: \"%s:%d\"\n", n.ip, frontendPort, n.ip, readinessPort)
	if n.control {
		role, class, disk = "ctrl", "core", 128
		data = `"` + filepath.Join(h.folder, n.name) + `"`
		listen = fmt.Sprintf("  control_plane: \"%s:%d\"\n", n.ip, controlPort)
	}
	seeds := ""
	for _, s := range h.controls() {
		seeds += fmt.Sprintf("  - %q\n", s)
	}
	advisor := ""
	if h.advisor != "" {
		advisor = fmt.Sprintf("placement_advisor: %q\n", h.advisor)
	}
	return fmt.Sprintf(`node_name: %q
role: %q
machine_class: %q
serves:
  - %q
ip: %q
zone: "zone-1"
region: "region-1"
zones:
  zone-1: "region-1"
listen:
%sport_range:
  - %d
  - %d
seeds:
%sbootstrap: %t
loss_counts: %t
limits:
  cpu_quota: 0.56
  cores: 1
  memory_mb: 280
  max_fds: 4096
  link_mbps: 200.0
  disk_mb: %d
data_dir: %s
discovery: "registry"
entry: "vip"
heartbeat_ms: 1500
fault_tolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  contact_ms: 3000
  drain_ms: 2000
  grace_s: 6
  config_ms: 2000
  hold_max_ms: 10000
  stop_ms: 900
  gang_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  finish_s: 14
  status_s: 120
  restore_ms: 250
  move_s: 1.5
  upkeep_s: 2
  fencing: false
  lease_ms: 3000
config_mode: "highest"
orders: "heartbeat"
%scloud_api:
  addr: %q
  rate_per_s: 64.0
  duties: []
  duty_per_s: 64.0
`, n.name, role, class, role, n.ip, listen, firstPort, lastPort, seeds, n.starts == 0, n.control, disk, data, advisor, h.cloud())
}
