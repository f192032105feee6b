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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cccli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
