// Package cclimit decides what a process grants to clients that it doesn't control: how many
// connections, how many bytes for all requests together, and which connection to close
// when a bound is reached.
//
// Listeners are grouped into classes with shares of their own, so that a class that is full
// leaves the others alone. Nothing here is safe for concurrent use; io/cclimit guards it
// and carries out the decisions.
//
// # Usage
//
//	limits := cclimit.Derive(cclimit.Host{Memory: 144 << 20, Descriptors: 3075})
//	err := limits.Validate()
//	table := cclimit.NewTable(limits)
//	victim, ok := table.Add(conn, now)
package cclimit

import (
	"fmt"
	"time"
)

// Class is a group of listeners with its own share of the connections and bytes.
type Class uint8

const (
	// ClassRequests is the address at which callers submit jobs.
	ClassRequests Class = iota
	// ClassControl is the address at which an agent receives heartbeats.
	ClassControl
	// ClassSessions are the addresses for other processes of the fleet.
	ClassSessions
	// ClassObservation are readiness and metrics.
	ClassObservation
	classes
)

// String returns the name that metrics and errors use.
func (c Class) String() string {
	return [...]string{"requests", "control", "sessions", "observation"}[c]
}

// Classes returns all classes.
func Classes() []Class {
	return []Class{ClassRequests, ClassControl, ClassSessions, ClassObservation}
}

const (
	// DefaultMemory is a host's memory if none is configured.
	DefaultMemory = 128 << 20
	// DefaultDescriptors is a host's number of descriptors if none is configured.
	DefaultDescriptors = 1024
	// MinMemory is the least memory with which each class can hold one message of legal
	// size beside the process itself.
	MinMemory = 96 << 20
	// MinDescriptors leaves each class a few connections.
	MinDescriptors = 128
	// baseMemory is what a process takes without clients. An idle entry or agent was
	// measured at 27 to 31 MB.
	baseMemory = 32 << 20
	// ConnMemory is what a connection takes without bytes of requests: the stack of its
	// goroutine and the buffers of the server. 1,000 idle connections take 8 MB.
	ConnMemory = 8 << 10
	// connPart is the part of the memory that connections may take.
	connPart = 6
	// BytesFactor is the memory per byte of a body or message: the buffer, the one that
	// it grows into, and the decoded text.
	BytesFactor = 3
	// HeaderFactor is the memory per byte of a header: the buffer and the parsed text.
	HeaderFactor = 2
	// TaskMemory is the memory of a task that an entry has taken, until its runs have ended.
	TaskMemory = 256
	// taskPart is the part of the memory that tasks may take.
	taskPart = 20
	// LineCost is the memory per header line, since the parsed map takes far more than
	// the bytes of a short line. 1,000 headers of 16 KB with lines of 6 bytes took 348 MB,
	// or 130 bytes per line.
	LineCost = 256
	// MaxHeaderBytes is the length of a header, HeaderTimeout its time, and IdleTimeout the
	// time without requests, until the operators' configuration gives others.
	MaxHeaderBytes = 16 << 10
	// HeaderTimeout applies as MaxHeaderBytes does.
	HeaderTimeout = 3 * time.Second
	// IdleTimeout applies as MaxHeaderBytes does.
	IdleTimeout = 15 * time.Second
	// HeaderSlack is added to the limit of a header for the request line. net/http adds
	// the same.
	HeaderSlack = 4 << 10
	// maxMessage is the largest legal heartbeat or message of a session.
	maxMessage = 4 << 20
	// maxRequestBody is the largest body of a caller's request by default.
	maxRequestBody = 256 << 10
	// maxJobTasks is the number of tasks of the largest legal job, and taskRoom how many such
	// jobs must have room: an entry lets a job take a part of what is free.
	maxJobTasks = 1500
	taskRoom    = 4
	// minLine is the length of the shortest header line with its end.
	minLine = 4
)

// Host is what the host grants the process.
type Host struct {
	Memory      int64
	Descriptors int
}

// Share is what a class may use.
type Share struct {
	Connections int
	Bytes       int64
}

// Limits are the limits of a process.
type Limits struct {
	Host   Host
	Shares [classes]Share
	// MaxTasks limits the tasks of the jobs that an entry has taken.
	MaxTasks int
	// BodyTimeout is how long a body, a message or an answer may make no progress.
	BodyTimeout time.Duration
	// IdentifyTimeout is how long a peer of a session may take to identify itself.
	IdentifyTimeout time.Duration
	// UnidentifiedBytes limits a message of a peer that has not identified itself.
	UnidentifiedBytes int64
}

// Derive returns the limits for a host.
func Derive(host Host) Limits {
	l := Limits{Host: host, MaxTasks: int(host.Memory / taskPart / TaskMemory), BodyTimeout: 10 * time.Second, IdentifyTimeout: 10 * time.Second, UnidentifiedBytes: 256 << 10}
	connections := min(host.Descriptors, int(host.Memory/connPart/ConnMemory))
	// An eighth of the descriptors remains for the process's own connections and files.
	l.Shares = [classes]Share{
		ClassRequests:    {Connections: connections / 2, Bytes: host.Memory / 4},
		ClassControl:     {Connections: connections / 16, Bytes: host.Memory / 6},
		ClassSessions:    {Connections: connections / 4, Bytes: host.Memory / 6},
		ClassObservation: {Connections: connections / 16, Bytes: host.Memory / 32},
	}
	return l
}

// legalCost is the memory of the largest legal message of a class.
func legalCost(class Class) int64 {
	header := int64(MaxHeaderBytes+HeaderSlack)*HeaderFactor + (MaxHeaderBytes/minLine)*LineCost
	switch class {
	case ClassRequests:
		return header + maxRequestBody*BytesFactor
	case ClassControl:
		return header + maxMessage*BytesFactor
	case ClassSessions:
		return maxMessage * BytesFactor
	default:
		return header
	}
}

// MaxBody returns the length of the largest body that a class can hold beside a header.
func (l Limits) MaxBody(class Class) int64 {
	return (l.Shares[class].Bytes - legalCost(ClassObservation)) / BytesFactor
}

// Validate returns an error that names the setting which can't be kept.
func (l Limits) Validate() error {
	invalid := func(key, format string, args ...any) error {
		return &Error{Op: "check " + key, Kind: KindValue, Err: fmt.Errorf(format, args...)}
	}
	if l.Host.Memory < MinMemory {
		return invalid("limits.memoryMB", "%d MB are less than the least, %d", l.Host.Memory>>20, MinMemory>>20)
	}
	if l.Host.Descriptors < MinDescriptors {
		return invalid("limits.maxDescriptors", "%d are less than the least, %d", l.Host.Descriptors, MinDescriptors)
	}
	connections, bytes := 0, int64(0)
	for _, class := range Classes() {
		share := l.Shares[class]
		if share.Connections < 1 {
			return invalid(fmt.Sprintf("limits.%s.connections", class), "%d connections are too few", share.Connections)
		}
		if cost := legalCost(class); share.Bytes < cost {
			return invalid(fmt.Sprintf("limits.%s.memoryKB", class), "%d KB are less than one legal message needs, %d", share.Bytes>>10, (cost+1023)>>10)
		}
		connections += share.Connections
		bytes += share.Bytes
	}
	// An entry has no heartbeats and an agent no callers, so the lesser of the two shares
	// is left out.
	bytes -= min(l.Shares[ClassRequests].Bytes, l.Shares[ClassControl].Bytes)
	if l.MaxTasks < taskRoom*maxJobTasks {
		return invalid("limits.maxTasks", "%d are less than the least, %d", l.MaxTasks, taskRoom*maxJobTasks)
	}
	if connections >= l.Host.Descriptors {
		return invalid("limits.maxDescriptors", "the classes have %d connections, and the host %d descriptors", connections, l.Host.Descriptors)
	}
	if sum := baseMemory + bytes + int64(connections)*ConnMemory + int64(l.MaxTasks)*TaskMemory; sum > l.Host.Memory {
		return invalid("limits.memoryMB", "the process and its classes need %d MB, and the host has %d", sum>>20, l.Host.Memory>>20)
	}
	for key, d := range map[string]time.Duration{"limits.bodyTimeout": l.BodyTimeout, "limits.identifyTimeout": l.IdentifyTimeout} {
		if d < minTimeout {
			return invalid(key, "%v is less than the least, %v", d, minTimeout)
		}
	}
	if l.UnidentifiedBytes < minUnidentified {
		return invalid("limits.unidentifiedKB", "%d KB are less than the least, %d", l.UnidentifiedBytes>>10, minUnidentified>>10)
	}
	return nil
}

const (
	// minTimeout is the least time that a client gets. Timeouts are checked at an interval
	// of half a second.
	minTimeout = time.Second
	// minUnidentified is enough for an agent's request for a session.
	minUnidentified = 64 << 10
)
