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

// seeds are played in CI: one that is short, and each that ever broke a promise,
// with a line on the cause. Real processes do not repeat a run exactly; the seed
// repeats what is broken, when and for how long.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "the short run"},
	{112, "a cancel without an answer had taken effect, and the oracle counted the job as owed"},
}

// network keeps runs of the test side by side apart: all processes of a run
// have the same ports, on loopback addresses of their own.
func network() byte {
	return byte(80 + os.Getpid()%120)
}

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "auburntackd")
	build := exec.Command("go", "build", "-o", binary, "auburntack/cmd/auburntackd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, s := range seeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			var out bytes.Buffer
			result, err := tacksoak.Run(t.Context(), tacksoak.Config{
				Binary: binary, Folder: t.TempDir(), Seed: s.seed, For: 6 * time.Second,
				Controls: 3, Entries: 2, Workers: 6, Network: network(), Out: &out,
			})
			if err != nil {
				t.Fatalf("%v\n%s", err, out.Bytes())
			}
			for _, b := range result.Broken {
				t.Errorf("seed %d: %s", s.seed, b)
			}
			if result.Accepted == 0 || result.Starts == 0 {
				t.Errorf("seed %d: nothing was served: %+v", s.seed, result)
			}
			if t.Failed() {
				t.Logf("%s", out.Bytes())
			}
		})
	}
}
