package cccli

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// hangups returns the channel that receives SIGHUP. A command that serves calls it before
// anything else. The handler stays for as long as the process, since SIGHUP ends a process
// without one, also while it stops.
var hangups = sync.OnceValue(func() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
})
