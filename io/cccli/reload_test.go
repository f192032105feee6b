package cccli

import (
	"context"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"

	"camphorcroft/core/ccconfig"
)

// reloadWait is far above what a reload takes after SIGHUP.
const reloadWait = 2 * time.Second

// runReloading runs a role that calls start while it starts, serving once it has started,
// and stop while it stops. The channel receives the log levels of the reloads.
func runReloading(t *testing.T, file string, start func(), serving, stop func(reloads <-chan string)) {
	t.Helper()
	read, err := readConfig(file)
	if err != nil {
		t.Fatal(err)
	}
	hangups()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reloads := make(chan string, 10)
	started := make(chan struct{})
	role := fx.Invoke(func(lifecycle fx.Lifecycle, reload *reloader) {
		reload.changed = func(changed *ccconfig.Config) { reloads <- changed.LogLevel }
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) error {
				start()
				close(started)
				return nil
			},
			OnStop: func(context.Context) error {
				stop(reloads)
				return nil
			},
		})
	})
	ended := make(chan error, 1)
	go func() { ended <- runApp(ctx, Streams{Out: &syncBuffer{}, Err: &syncBuffer{}}, read, role) }()
	<-started
	serving(reloads)
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// setLogLevel changes the file's log level.
func setLogLevel(t *testing.T, file, level string) {
	t.Helper()
	text := strings.Replace(agentYAML, "STORE", "127.0.0.1:1", 1) + "logLevel: " + level + "\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Error(err)
	}
}

// assertReload sends SIGHUP to this process and waits for a reload with the log level.
func assertReload(t *testing.T, reloads <-chan string, want string) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Error(err)
	}
	select {
	case got := <-reloads:
		if got != want {
			t.Errorf("log level after the reload: got %s, want %s", got, want)
		}
	case <-time.After(reloadWait):
		t.Errorf("no reload within %v of SIGHUP", reloadWait)
	}
}

// TestReloadOfFileChangedWhileStarting guards against a process that takes the content of
// its file after its start for the one that it was started with.
func TestReloadOfFileChangedWhileStarting(t *testing.T) {
	file := writeConfig(t, "")
	setLogLevel(t, file, "info")
	runReloading(t, file, func() { setLogLevel(t, file, "debug") }, func(reloads <-chan string) {
		assertReload(t, reloads, "debug")
	}, func(<-chan string) {})
}

// TestReloadWhileStopping guards against a process that stops for seconds and does not
// follow its file meanwhile.
func TestReloadWhileStopping(t *testing.T) {
	file := writeConfig(t, "")
	setLogLevel(t, file, "info")
	runReloading(t, file, func() {}, func(reloads <-chan string) {
		setLogLevel(t, file, "debug")
		assertReload(t, reloads, "debug")
	}, func(reloads <-chan string) {
		setLogLevel(t, file, "error")
		assertReload(t, reloads, "error")
	})
}
