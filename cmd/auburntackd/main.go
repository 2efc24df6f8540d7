// Command auburntackd runs one VM of auburntack.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"auburntack/io/tackserve"
	"auburntack/io/tackvm"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d := tackserve.Daemon{Stdout: os.Stdout, Stderr: os.Stderr, Signals: signals, Run: tackvm.Run}
	os.Exit(d.Main(os.Args[1:]))
}
