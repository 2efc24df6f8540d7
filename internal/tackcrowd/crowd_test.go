package tackcrowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients of a crowd that sends much, silentSize that of one
	// that only connects. silentSize is above maxDescriptors.
	crowdSize  = 400
	silentSize = 1500
	// memoryMB and maxDescriptors are the machine of the processes.
	memoryMB       = 96
	maxDescriptors = 1024
	// legalBody is the largest body of a request that the configuration allows.
	legalBody = 256 << 10
	// excess is what a client sends whose body is far over every limit.
	excess = 5 << 19

	dialTimeout  = 5 * time.Second
	stallTimeout = 5 * time.Second // after which a client gives up writing and only stays connected
	// readBuffer is the receive buffer of a client of a crowd.
	readBuffer     = 4 << 10
	sampleInterval = 50 * time.Millisecond
	// answerTimeout is how long an ordinary client retries. It is no requirement on speed.
	answerTimeout = 60 * time.Second
	retryInterval = 200 * time.Millisecond
	// holdTime is how long a crowd stays before the first ordinary request.
	holdTime = 2 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "tackcrowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "auburntackd")
	if out, err := exec.Command("go", "build", "-o", binary, "auburntack/cmd/auburntackd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

type (
	// target is the process that a crowd attacks, and the addresses that it listens on.
	target struct {
		pid      int
		memoryMB int
		listens  []string
	}

	// usage is the highest usage of a process that was seen.
	usage struct {
		memory      int64 // bytes in memory, and unread and unsent in its sockets, at one time
		resident    int64 // bytes in memory
		descriptors int
		samples     int
	}

	// crowd is a set of clients that stay connected.
	crowd struct {
		mu    sync.Mutex
		conns []net.Conn
	}
)

// startCrowd connects n clients to address. Each calls send, and then stays connected without
// reading. It returns when all have sent or given up.
func startCrowd(t *testing.T, address string, n int, send func(w io.Writer) error) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	var group sync.WaitGroup
	var connected atomic.Int64
	for range n {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return // refusing it is allowed
			}
			connected.Add(1)
			_ = conn.(*net.TCPConn).SetReadBuffer(readBuffer) // so that answers wait in the process
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = send(&patientWriter{conn: conn}) // closing the connection is allowed
		})
	}
	group.Wait()
	if connected.Load() == 0 {
		t.Fatalf("no client of the crowd could connect to %s", address)
	}
	return c
}

// patientWriter gives up when nothing can be written for stallTimeout.
type patientWriter struct {
	conn net.Conn
}

// Write implements io.Writer.
func (w *patientWriter) Write(p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	return w.conn.Write(p)
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// watch samples the usage of the process until the returned function is called.
func (p target) watch() func() usage {
	stop, done := make(chan struct{}), make(chan struct{})
	var u usage
	go func() {
		defer close(done)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			u.add(p)
			select {
			case <-stop:
				u.add(p)
				return
			case <-ticker.C:
			}
		}
	}()
	return func() usage {
		close(stop)
		<-done
		return u
	}
}

func (u *usage) add(p target) {
	resident, peak, ok := residentBytes(p.pid)
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if !ok || err != nil {
		return
	}
	u.samples++
	u.resident = max(u.resident, peak)
	u.memory = max(u.memory, peak, resident+waitingBytes(p.listens))
	u.descriptors = max(u.descriptors, len(files))
}

// residentBytes returns the resident memory of a process and its peak.
func residentBytes(pid int) (now, peak int64, ok bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, false
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			now = n << 10
		case "VmHWM:":
			peak = n << 10
		}
	}
	return now, peak, now > 0
}

// waitingBytes returns the bytes that wait unread, or unsent, in the sockets of the given addresses.
func waitingBytes(listens []string) int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local := make(map[string]bool)
	for _, address := range listens {
		local[kernelAddress(address)] = true
	}
	var total int64
	for line := range bytes.Lines(data) {
		fields := strings.Fields(string(line))
		const localColumn, stateColumn, queueColumn, listening = 1, 3, 4, "0A"
		if len(fields) <= queueColumn || !local[fields[localColumn]] || fields[stateColumn] == listening {
			continue
		}
		for queue := range strings.SplitSeq(fields[queueColumn], ":") {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += n
		}
	}
	return total
}

// kernelAddress returns an address as /proc/net/tcp has it, on a little-endian machine.
func kernelAddress(address string) string {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return ""
	}
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// assertSurvives starts a crowd with attack, has an ordinary client retry until it is served
// beside the crowd, and once more after the crowd has gone, and checks the process. alive
// reports whether the process still runs.
func assertSurvives(t *testing.T, p target, alive func() bool, attack func() *crowd, ordinary func() error) {
	t.Helper()
	stop := p.watch()
	c := attack()
	time.Sleep(holdTime)
	if err := retry(ordinary); err != nil {
		t.Errorf("an ordinary request beside the crowd: %v", err)
	}
	c.close()
	if err := retry(ordinary); err != nil {
		t.Errorf("an ordinary request after the crowd: %v", err)
	}
	u := stop()
	t.Logf("peak %.1f of %d MB, %.1f without its sockets, %d of %d descriptors, %d samples",
		float64(u.memory)/(1<<20), p.memoryMB, float64(u.resident)/(1<<20), u.descriptors, maxDescriptors, u.samples)
	if !alive() || u.samples == 0 {
		t.Error("the process has ended")
	}
	if u.memory > int64(p.memoryMB)<<20 {
		t.Errorf("%.1f MB of memory, want at most %d", float64(u.memory)/(1<<20), p.memoryMB)
	}
	if u.descriptors > maxDescriptors {
		t.Errorf("%d descriptors, want at most %d", u.descriptors, maxDescriptors)
	}
}

// retry calls f until it succeeds or answerTimeout has passed.
func retry(f func() error) error {
	var err error
	for began := time.Now(); time.Since(began) < answerTimeout; time.Sleep(retryInterval) {
		if err = f(); err == nil {
			return nil
		}
	}
	return err
}
