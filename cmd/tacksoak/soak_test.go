package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"auburntack/platform/tacksoak"
)

// seeds are run in CI: one for a short run, and each that ever found a violated
// guarantee, with its cause. Runs of real processes are not exactly repeatable;
// the seed determines which faults are injected, when and for how long.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "short run without load control"},
	{9305, "short run with load control"},
	{112, "a cancellation whose answer was lost had taken effect, and the oracle still expected the job to run"},
}

// network returns the second byte of the loopback addresses. It differs between
// concurrent runs of the test, since all processes use the same ports, each on a
// loopback address of its own.
func network() byte {
	return byte(80 + os.Getpid()%120)
}

func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "auburntackd")
	build := exec.Command("go", "build", "-o", binary, "auburntack/cmd/auburntackd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// assertHolds runs the soak and reports each violated guarantee.
func assertHolds(t *testing.T, cfg tacksoak.Config) tacksoak.Result {
	t.Helper()
	var out bytes.Buffer
	cfg.Folder, cfg.Network, cfg.Out = t.TempDir(), network(), &out
	result, err := tacksoak.Run(t.Context(), cfg)
	if err != nil {
		t.Fatalf("%v\n%s", err, out.Bytes())
	}
	for _, v := range result.Violations {
		t.Errorf("seed %d: %s", cfg.Seed, v)
	}
	if result.Accepted == 0 || result.Starts == 0 {
		t.Errorf("seed %d: no job was accepted or started: %+v", cfg.Seed, result)
	}
	if t.Failed() {
		t.Logf("%s", out.Bytes())
	}
	return result
}

// Guards against a system without a leader: two control VMs are replaced while the leader is no
// seed, then two others lose their folders, and all lose power.
func TestSoakOfLosses(t *testing.T) {
	result := assertHolds(t, tacksoak.Config{
		Binary: buildDaemon(t), Seed: 711301, For: 12 * time.Second,
		Controls: 6, Entries: 2, Workers: 6, Zones: 6, Losses: true, Tolerance: 2,
	})
	t.Logf("%d faults, %d accepted", result.Faults, result.Accepted)
}

func TestSoak(t *testing.T) {
	binary := buildDaemon(t)
	covered := make(map[bool]bool)
	for _, s := range seeds {
		covered[tacksoak.LoadControlled(s.seed)] = true
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			result := assertHolds(t, tacksoak.Config{
				Binary: binary, Seed: s.seed, For: 6 * time.Second, Controls: 3, Entries: 2, Workers: 6,
			})
			t.Logf("seed %d, load control in force %t: %d accepted, %d refusals, %d moves",
				s.seed, tacksoak.LoadControlled(s.seed), result.Accepted, result.Refused, result.Moves)
		})
	}
	if len(covered) != 2 {
		t.Errorf("the seeds cover load control %v, want it both in force and not", covered)
	}
}
