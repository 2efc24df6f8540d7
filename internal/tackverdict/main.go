// Command tackverdict decides whether a test run passes CI. It reads the events
// of `go test -json` from its standard input and excuses the failures of
// exactly the tests that KNOWN-RED.txt lists.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

func main() {
	list := flag.String("known", "KNOWN-RED.txt", "`FILE` that lists the tests known to fail")
	counts := flag.String("counts", "", "`FILE` to write the numbers of passed and failed tests to")
	partial := flag.Bool("part", false, "the events are of a part of the tests, so listed ones may be missing")
	flag.Parse()
	ok, err := run(*list, *counts, *partial, os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tackverdict:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run evaluates the events in r, reports to w, and returns whether CI may pass.
func run(list, counts string, partial bool, r io.Reader, w io.Writer) (bool, error) {
	known, err := readKnown(list)
	if err != nil {
		return false, err
	}
	v := verdict{partial: partial}
	if err := v.read(r, w); err != nil {
		return false, err
	}
	ok := v.evaluate(known, w)
	if counts == "" {
		return ok, nil
	}
	return ok, os.WriteFile(counts, fmt.Appendf(nil, "%d %d\n", v.passed, v.failed), 0o644)
}
