// Command tackverdict judges a run of the tests for CI. It reads the events
// of `go test -json` from its standard input and passes over the failures of
// the tests that KNOWN-RED.txt names, and of no others.
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
	part := flag.Bool("part", false, "judge a part of the tests, in which a listed one may be missing")
	flag.Parse()
	good, err := run(*list, *counts, *part, os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tackverdict:", err)
	}
	if err != nil || !good {
		os.Exit(1)
	}
}

// run judges the events in r and reports to w. It returns whether CI may
// pass.
func run(list, counts string, part bool, r io.Reader, w io.Writer) (bool, error) {
	known, err := readKnown(list)
	if err != nil {
		return false, err
	}
	v := verdict{part: part}
	if err := v.read(r, w); err != nil {
		return false, err
	}
	good := v.judge(known, w)
	if counts == "" {
		return good, nil
	}
	return good, os.WriteFile(counts, fmt.Appendf(nil, "%d %d\n", v.passed, v.failed), 0o644)
}
