package tackport

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

const (
	// softMemoryPercent is the part of the usable memory, in percent, at which the garbage
	// collector runs more often.
	softMemoryPercent = 70
	// programBytes is the memory of the program itself, which the garbage collector does not
	// count.
	programBytes = 16 << 20
	// minUsablePercent is the part of the memory, in percent, that counts as usable on a machine
	// that is too small.
	minUsablePercent = 25
)

// outgoingPercent is the part of the machine's descriptors, in percent, for connections that the
// process opens to one server. With descriptorPercent it leaves a twentieth for other connections
// and files.
const outgoingPercent = 15

// Machine is the machine of a process. A zero field means that it is not known, and then does not
// limit clients.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// ThisMachine returns the machine that the process runs on. If the runtime had a memory limit at
// the first call, by the environment variable GOMEMLIMIT, the machine has no more than that.
func ThisMachine() Machine { return thisMachine() }

var thisMachine = sync.OnceValue(readMachine)

func readMachine() Machine {
	var m Machine
	if data, err := os.ReadFile("/proc/meminfo"); err == nil {
		m.MemoryBytes = totalMemory(string(data))
	}
	if limit := debug.SetMemoryLimit(-1); m.MemoryBytes == 0 || limit < m.MemoryBytes {
		m.MemoryBytes = limit
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		m.Descriptors = int(min(files.Cur, 1<<30))
	}
	return m
}

// OutgoingConnections returns how many connections the process may open to one server on behalf
// of its clients; zero means that there is no limit.
func (m Machine) OutgoingConnections() int {
	if m.Descriptors <= 0 {
		return 0
	}
	return max(1, m.Descriptors*outgoingPercent/percent)
}

// LimitMemory has the garbage collector run more often when the process comes near the memory
// of the machine.
func (m Machine) LimitMemory() {
	if m.MemoryBytes > 0 {
		debug.SetMemoryLimit(m.usable() / percent * softMemoryPercent)
	}
}

// usable returns the memory without that of the program itself.
func (m Machine) usable() int64 {
	return max(m.MemoryBytes-programBytes, m.MemoryBytes/percent*minUsablePercent)
}

// totalMemory returns MemTotal of /proc/meminfo in bytes, or zero if there is none.
func totalMemory(meminfo string) int64 {
	for line := range strings.Lines(meminfo) {
		if rest, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return n << 10
		}
	}
	return 0
}
