package cccli

import (
	"context"
	"os"
	"time"

	"camphorcroft/core/ccconfig"
	"camphorcroft/io/cclog"
)

// reloadInterval is how often the file is looked at, since it may change without
// a signal.
const reloadInterval = 5 * time.Second

// reloader reads a process's file again when it has changed.
type reloader struct {
	file    string
	log     *cclog.Log
	changed func(cfg *ccconfig.Config)
	last    string // The content in force.
}

// run reloads on SIGHUP and when the file's content changes, until the context
// ends. A file that can't be read changes nothing.
func (r *reloader) run(ctx context.Context) {
	signals := hangups()
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	// The file may have changed since the process read it.
	r.reload("changed file")
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload("signal")
		case <-ticker.C:
			r.reload("changed file")
		}
	}
}

func (r *reloader) reload(cause string) {
	data, err := os.ReadFile(r.file)
	if err != nil {
		r.log.Logger.Error(err, "File can't be read again.", "file", r.file)
		return
	}
	if string(data) == r.last {
		return
	}
	cfg, err := ccconfig.Parse(r.file, data)
	if err != nil {
		r.log.Logger.Error(err, "Changed file is refused; the earlier one stays in force.", "file", r.file)
		return
	}
	r.last = string(data)
	r.log.SetLevel(cfg.LogLevel)
	r.log.SetBudget(cfg.LogBudget)
	r.log.Logger.Info("File is reloaded.", "file", r.file, "cause", cause)
	if r.changed != nil {
		r.changed(cfg)
	}
}
