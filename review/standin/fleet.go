package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	host    = "desk.example"
	prefix  = "/proofs/"
	service = "desk"
)

// process is an entry or an agent.
type process struct {
	name, role, ip string
	file           string
	command        *exec.Cmd
	exited         chan struct{}
}

// fleet is a small deployment: the project's processes and the stand-ins around them.
type fleet struct {
	record  *record
	folder  string // For the settings and the logs of the processes.
	program string
	port    int // The first of seven ports that all addresses share.
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
}

// The ports of a machine, counted from the fleet's first one.
const (
	portInternal  = 0 // Two of them.
	portFront     = 2
	portReadiness = 3
	portControl   = 4
	portApp       = 5
	portStore     = 6
	portCount     = 7
)

func (f *fleet) addr(ip string, offset int) string { return ip + ":" + strconv.Itoa(f.port+offset) }

func entryIP(i int) string { return fmt.Sprintf("127.41.1.%d", i+1) }
func agentIP(i int) string { return fmt.Sprintf("127.41.2.%d", i+1) }

const storeIP = "127.41.3.1"

// startFleet starts a deployment and waits until it serves.
func startFleet(rec *record, entries, agents int) (*fleet, error) {
	program := os.Getenv("PROGRAM")
	if program == "" {
		return nil, errors.New("PROGRAM is not set")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, folder: folder, program: program, store: newStore()}
	if f.port, err = freePorts(entries, agents); err != nil {
		return f, err
	}
	listener, err := net.Listen("tcp", f.addr(storeIP, portStore))
	if err != nil {
		return f, err
	}
	f.store.serve(listener)
	f.configure()
	for i := range agents {
		w := &worker{
			id: fmt.Sprintf("w-%d", i+1), service: service, zone: zone(i), addr: f.addr(agentIP(i), portApp), heartbeats: f.addr(agentIP(i), portControl),
			labels: []string{"a", fmt.Sprintf("r1-%d", i/3)}, cpu: 16000, record: rec,
		}
		listener, err := net.Listen("tcp", w.addr)
		if err != nil {
			return f, err
		}
		w.serve(listener)
		f.workers = append(f.workers, w)
	}
	for i := range entries {
		p, err := f.prepare("entry", fmt.Sprintf("front-%d", i+1), zone(i), entryIP(i), entries)
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, p)
	}
	for i := range agents {
		p, err := f.prepare("agent", fmt.Sprintf("side-%d", i+1), zone(i), agentIP(i), entries)
		if err != nil {
			return f, err
		}
		f.agents = append(f.agents, p)
	}
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		if err := f.start(p); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(20 * time.Second)
}

func zone(i int) string { return []string{"north", "east", "south", "west"}[i%4] }

// freePorts returns the first of portCount consecutive ports that are free at all addresses.
func freePorts(entries, agents int) (int, error) {
	ips := []string{storeIP}
	for i := range entries {
		ips = append(ips, entryIP(i))
	}
	for i := range agents {
		ips = append(ips, agentIP(i))
	}
	for first := 21000 + os.Getpid()%1000*7; first < 32000; first += portCount {
		if portsFree(ips, first) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(ips []string, first int) bool {
	for _, ip := range ips {
		for offset := range portCount {
			listener, err := net.Listen("tcp", ip+":"+strconv.Itoa(first+offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// configure writes the operator's configuration.
func (f *fleet) configure() {
	config, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "proofs", "host": host, "prefix": prefix, "service": service, "kind": "unsafe", "timeout_ms": 30000, "target_duration_ms": 300,
			"max_attempts": 3, "priority": 0, "stretch": 1.6,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 64, "rejects_overload": true}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	f.store.put("op/config", config)
}

var placeholder = regexp.MustCompile(`{{([a-z_.0-9]+)}}`)

// prepare fills in a process's template, as the platform does.
func (f *fleet) prepare(role, name, zone, ip string, entries int) (*process, error) {
	data, err := os.ReadFile(filepath.Join("deploy", role+".yaml"))
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"node_name": name, "zone": zone, "ip": ip, "internal_ports.0": strconv.Itoa(f.port), "internal_ports.1": strconv.Itoa(f.port + 1),
		"platform.address": f.addr(storeIP, portStore), "bind_addrs.control": f.addr(ip, portControl), "bind_addrs.front": f.addr(ip, portFront),
		"bind_addrs.readiness": f.addr(ip, portReadiness), "app": f.addr(ip, portApp), "bounds.far_factor": "1.5",
	}
	var text []string
	section := false
	for _, line := range strings.Split(string(data), "\n") {
		switch {
		case strings.HasPrefix(line, "{{#seeds}}"):
			section = true
		case strings.HasPrefix(line, "{{/seeds}}"):
			section = false
		case section:
			for i := range min(entries, 3) {
				text = append(text, strings.ReplaceAll(line, "{{.}}", f.addr(entryIP(i), portControl)))
			}
		default:
			text = append(text, placeholder.ReplaceAllStringFunc(line, func(p string) string { return values[strings.Trim(p, "{}")] }))
		}
	}
	p := &process{name: name, role: role, ip: ip, file: filepath.Join(f.folder, name+".yaml")}
	return p, os.WriteFile(p.file, []byte(strings.Join(text, "\n")), 0o600)
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(f.program, p.role, "--config", p.file)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		err := command.Wait()
		f.record.add("%s has ended: %v", p.name, err)
		close(exited)
	}(p.command, p.exited)
	f.record.add("%s is started", p.name)
	return nil
}

// signal sends a signal to a process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.record.add("%s gets %s", p.name, s)
	_ = p.command.Process.Signal(s)
}

// awaitReady waits until all entries are ready and have heard of all workers.
func (f *fleet) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, p := range f.entries {
		for !f.ready(p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

func (f *fleet) ready(p *process) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.addr(p.ip, portReadiness) + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}
