// Command camphorcroft runs every role of the dispatcher.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"camphorcroft/io/cccli"
)

func main() {
	// The handler is never removed, since a second signal would end the process without one.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	os.Exit(cccli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
