package cclimit

import (
	"strings"
	"testing"
	"time"
)

// Guards against limits that a host can't keep, and against those that refuse a host
// of the fleet.
func TestDerivedLimitsAreValid(t *testing.T) {
	for memory := int64(MinMemory); memory <= 8<<30; memory += 37 << 20 {
		for descriptors := MinDescriptors; descriptors <= 1<<20; descriptors *= 3 {
			if err := Derive(Host{Memory: memory, Descriptors: descriptors}).Validate(); err != nil {
				t.Errorf("%d MB, %d descriptors: %v", memory>>20, descriptors, err)
			}
		}
	}
}

// Guards against an invalid setting that is taken, or whose error doesn't name it.
func TestInvalidLimits(t *testing.T) {
	for key, change := range map[string]func(l *Limits){
		"limits.memoryMB":             func(l *Limits) { l.Host.Memory = 0 },
		"limits.maxDescriptors":       func(l *Limits) { l.Host.Descriptors = 0 },
		"limits.requests.connections": func(l *Limits) { l.Shares[ClassRequests].Connections = 0 },
		"limits.control.memoryKB":     func(l *Limits) { l.Shares[ClassControl].Bytes = 4 << 20 },
		"limits.requests.memoryKB":    func(l *Limits) { l.Shares[ClassRequests].Bytes = -1 },
		"limits.bodyTimeout":          func(l *Limits) { l.BodyTimeout = 0 },
		"limits.identifyTimeout":      func(l *Limits) { l.IdentifyTimeout = -1 },
		"limits.maxTasks":             func(l *Limits) { l.MaxTasks = -1 },
		"limits.unidentifiedKB":       func(l *Limits) { l.UnidentifiedBytes = 0 },
	} {
		l := Derive(Host{Memory: DefaultMemory, Descriptors: DefaultDescriptors})
		change(&l)
		if err := l.Validate(); err == nil || !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s: error %v", key, err)
		}
	}
	above := Derive(Host{Memory: DefaultMemory, Descriptors: DefaultDescriptors})
	above.Shares[ClassSessions].Bytes = DefaultMemory
	if err := above.Validate(); err == nil || !strings.Contains(err.Error(), "the host has 128") {
		t.Errorf("shares above the host's memory: error %v", err)
	}
}

func newTestTable(connections int) *Table {
	l := Derive(Host{Memory: DefaultMemory, Descriptors: DefaultDescriptors})
	l.Shares[ClassRequests] = Share{Connections: connections, Bytes: 100}
	return NewTable(l)
}

// Guards against a bound on connections that closes one that is served, or an active one
// before one that stands still.
func TestAddClosesMostIdle(t *testing.T) {
	table, now := newTestTable(3), time.Unix(1000, 0)
	slow, idle, served, next, last := &Conn{}, &Conn{}, &Conn{}, &Conn{}, &Conn{}
	for _, c := range []*Conn{slow, idle, served} {
		if victim, ok := table.Add(c, now); victim != nil || !ok {
			t.Fatal("refused below the bound")
		}
	}
	table.Enter(slow, PhaseHeader, now)
	table.Enter(served, PhaseServing, now)
	if victim, ok := table.Add(next, now); victim != idle || !ok {
		t.Error("the most idle connection was not chosen")
	}
	if victim, ok := table.Add(last, now); victim != slow || !ok || !table.Crowded(ClassRequests) {
		t.Error("the slowest connection was not chosen, or does not count as closing")
	}
	table.Remove(idle)
	table.Remove(slow)
	table.Enter(next, PhaseServing, now)
	table.Enter(last, PhaseServing, now)
	if victim, ok := table.Add(&Conn{}, now); victim != nil || ok {
		t.Error("a connection that is served was closed")
	}
	if use := table.Use(ClassRequests); use.Connections != 3 || table.Crowded(ClassRequests) {
		t.Errorf("%d connections are counted", use.Connections)
	}
}

// Guards against a budget that is exceeded, also by what is being closed, that closes what
// is served, or that lets old messages without progress keep out new ones.
func TestReserve(t *testing.T) {
	table, now := newTestTable(10), time.Unix(1000, 0)
	served, old, recent, newest := &Conn{}, &Conn{}, &Conn{}, &Conn{}
	for _, c := range []*Conn{served, old, recent, newest} {
		c.Granted = make(chan bool, 1)
		table.Add(c, now)
		table.Enter(c, PhaseBody, now)
	}
	for _, c := range []*Conn{served, old} {
		if _, result := table.Reserve(c, 40); result != Reserved {
			t.Fatal("refused below the bound")
		}
	}
	table.Enter(served, PhaseServing, now)
	if victims, result := table.Reserve(recent, 61); result != Refused || victims != nil {
		t.Error("more than the share was reserved")
	}
	if _, result := table.Reserve(old, 21); result != Refused {
		t.Error("a message gave way to an older one")
	}
	if victims, result := table.Reserve(recent, 60); result != Waits || len(victims) != 1 || victims[0] != old {
		t.Error("the older message did not give way")
	}
	if victims, result := table.Reserve(newest, 10); result != Waits || len(victims) != 1 || victims[0] != recent || <-recent.Granted {
		t.Error("a message that waits did not give way")
	}
	if use := table.Use(ClassRequests); use.Bytes != 80 {
		t.Errorf("in use before the end of what gives way: %+v", use)
	}
	table.Remove(old)
	if !<-newest.Granted {
		t.Error("what was released was not granted")
	}
	table.Remove(old)
	table.Remove(recent)
	table.Enter(newest, PhaseIdle, now)
	table.Remove(served)
	if use := table.Use(ClassRequests); use != (Use{Connections: 1}) {
		t.Errorf("in use at the end: %+v", use)
	}
}

// Guards against clients that take too long, and against closing those that don't.
func TestExpired(t *testing.T) {
	timeouts := Timeouts{Header: 3 * time.Second, Idle: 15 * time.Second}
	for phase, limit := range map[Phase]time.Duration{PhaseIdle: 15 * time.Second, PhaseHeader: 3 * time.Second, PhaseBody: 10 * time.Second, PhaseServing: 0} {
		table, now, c := newTestTable(10), time.Unix(1000, 0), &Conn{}
		table.Add(c, now)
		table.Enter(c, phase, now)
		if got := table.Expired(ClassRequests, timeouts, now.Add(limit)); got != nil {
			t.Errorf("phase %d: closed too soon", phase)
		}
		if got := table.Expired(ClassRequests, timeouts, now.Add(limit+time.Hour)); (len(got) == 1) != (limit > 0) {
			t.Errorf("phase %d: %d connections are closed", phase, len(got))
		}
	}
	table, now, stranger, agent := newTestTable(10), time.Unix(1000, 0), &Conn{Class: ClassSessions}, &Conn{Class: ClassSessions, Identified: true}
	table.Add(stranger, now)
	table.Add(agent, now)
	if got := table.Expired(ClassSessions, Timeouts{}, now.Add(time.Hour)); len(got) != 1 || got[0] != stranger {
		t.Error("not exactly the peer that has not identified itself is closed")
	}
}
