// Command auburntack is the operators' client of auburntack.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"auburntack/io/tackcli"
	"auburntack/io/tackdemo"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	t := tackcli.Tool{Stdout: os.Stdout, Stderr: os.Stderr, Demo: tackdemo.Run}
	code := t.Main(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
