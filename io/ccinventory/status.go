package ccinventory

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"

	"camphorcroft/core/ccnode"
)

const (
	defaultTimeout  = 2 * time.Second
	defaultParallel = 32
	maxVarsBytes    = 16 << 20
)

// AskConfig bounds the asking. Zero fields take defaults.
type AskConfig struct {
	Timeout  time.Duration // For each process: 2 s by default.
	Parallel int           // Processes asked at once: 32 by default.
}

// Status is how one process says it stands.
type Status struct {
	Node
	// Silent says why the process could not be asked. It is empty if it answered,
	// and the fields below are zero otherwise.
	Silent        string  `json:"silent,omitempty"`
	UptimeSeconds float64 `json:"uptimeSeconds"`
	MemoryBytes   uint64  `json:"memoryBytes"`
	// Version is the version of the settings in force there, since VersionSeconds.
	Version        uint64  `json:"version"`
	VersionSeconds float64 `json:"versionSeconds"`
	// Running is the tasks that run at an agent, and Jobs and Waiting the jobs in
	// flight and the tasks that wait at an entry.
	Running  int  `json:"runningTasks"`
	Jobs     int  `json:"jobs"`
	Waiting  int  `json:"waitingTasks"`
	Draining bool `json:"draining,omitempty"`
	// Targets is how an entry sees its targets.
	Targets []Target `json:"targets,omitempty"`
}

// Target is what an entry says of one target.
type Target struct {
	Node    ccnode.ID `json:"node"`
	Domain  string    `json:"domain"`
	Up      bool      `json:"up"`
	Ejected bool      `json:"ejected"`
	Silent  bool      `json:"silent"`
	Leaving bool      `json:"leaving"`
	Slots   int       `json:"slots"`
	Free    int       `json:"free"`
	Out     int       `json:"out"`
}

// Ask asks all nodes at once, within bounds, and returns their statuses in the
// same order.
func Ask(ctx context.Context, cfg AskConfig, nodes []Node) []Status {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Parallel <= 0 {
		cfg.Parallel = defaultParallel
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	statuses := make([]Status, len(nodes))
	next := make(chan int)
	var group sync.WaitGroup
	for range min(cfg.Parallel, len(nodes)) {
		group.Go(func() {
			for i := range next {
				statuses[i] = askOne(ctx, client, cfg.Timeout, nodes[i])
			}
		})
	}
	for i := range nodes {
		next <- i
	}
	close(next)
	group.Wait()
	return statuses
}

func askOne(ctx context.Context, client *http.Client, timeout time.Duration, node Node) Status {
	status := Status{Node: node}
	if !node.HTTP.IsValid() {
		status.Silent = "no HTTP address is known"
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var vars vars
	if err := readVars(ctx, client, node.HTTP, &vars); err != nil {
		status.Silent = err.Error()
		return status
	}
	vars.fill(&status)
	return status
}

func readVars(ctx context.Context, client *http.Client, addr netip.AddrPort, vars *vars) error {
	address := url.URL{Scheme: "http", Host: addr.String(), Path: "/debug/vars"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return &Error{Op: "ask " + addr.String(), Kind: KindSilent, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &Error{Op: "ask " + addr.String(), Kind: KindSilent, Err: errors.New(response.Status)}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxVarsBytes)).Decode(vars); err != nil {
		return &Error{Op: "ask " + addr.String(), Kind: KindSilent, Err: err}
	}
	return nil
}

// vars is the part of a process's metrics that its status shows. Those of an
// entry are in Entry.
type vars struct {
	Process            ccnode.ID `json:"process"`
	Domain             string    `json:"domain"`
	UptimeSeconds      float64   `json:"uptimeSeconds"`
	MemoryBytes        uint64    `json:"memoryBytes"`
	SettingsVersion    uint64    `json:"settingsVersion"`
	SettingsAgeSeconds float64   `json:"settingsAgeSeconds"`
	TasksRunning       int       `json:"tasksRunning"`
	Slots              int       `json:"slots"`
	Entry              *struct {
		Version           uint64  `json:"version"`
		VersionAgeSeconds float64 `json:"versionAgeSeconds"`
		Draining          bool    `json:"draining"`
		PendingJobs       int     `json:"pendingJobs"`
		Services          []struct {
			WaitingTasks int `json:"waitingTasks"`
		} `json:"services"`
		Agents []Target `json:"agents"`
	} `json:"entry"`
}

func (v *vars) fill(status *Status) {
	if status.Ref.ID == "" {
		status.Ref.ID = v.Process
	}
	if status.Domain == "" {
		status.Domain = v.Domain
	}
	status.UptimeSeconds, status.MemoryBytes = v.UptimeSeconds, v.MemoryBytes
	if v.Entry == nil {
		status.Role = RoleAgent
		status.Version, status.VersionSeconds, status.Running = v.SettingsVersion, v.SettingsAgeSeconds, v.TasksRunning
		status.Slots = v.Slots
		return
	}
	status.Role = RoleEntry
	status.Version, status.VersionSeconds = v.Entry.Version, v.Entry.VersionAgeSeconds
	status.Draining, status.Jobs, status.Targets = v.Entry.Draining, v.Entry.PendingJobs, v.Entry.Agents
	for _, service := range v.Entry.Services {
		status.Waiting += service.WaitingTasks
	}
}
