package cccrash

import (
	"maps"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

const (
	// retention is how long a crash is kept: longer than any caller sends a job again.
	retention = 2 * time.Minute
	// maxTasks limits the tasks with a record. The oldest are dropped.
	maxTasks = 8192
)

// Findings are what a crash has shown.
type Findings struct {
	// Causes are the tasks that count as the cause of crashes from now on.
	Causes []ccwire.TaskRef
	// Isolated are the classes that are isolated from now on.
	Isolated []uint32
}

// crashID identifies a crash.
type crashID struct {
	agent  ccnode.Ref
	number uint64
}

// Ledger counts crashes. It is not safe for concurrent use.
type Ledger struct {
	crashes map[crashID]*crashRecord
	tasks   map[ccwire.TaskRef]*taskRecord
	order   []*taskRecord // The records in the order in which they were added.
	classes map[uint32]*classRecord
}

// NewLedger returns a ledger without crashes.
func NewLedger() *Ledger {
	return &Ledger{crashes: map[crashID]*crashRecord{}, tasks: map[ccwire.TaskRef]*taskRecord{}, classes: map[uint32]*classRecord{}}
}

// Record counts a crash that an agent has reported, unless it is known. It reports whether
// it is new.
func (l *Ledger) Record(now time.Time, agent ccnode.Ref, report ccwire.CrashReport) (Findings, bool) {
	id := crashID{agent: agent, number: report.Number}
	if _, known := l.crashes[id]; known {
		return Findings{}, false
	}
	l.prune(now)
	c := &crashRecord{at: now}
	l.crashes[id] = c
	var similar []*taskRecord
	for _, suspect := range report.Suspects {
		if class := l.class(suspect.Class); class.isolated(now) {
			class.extend(now)
		}
		r := l.record(suspect.Task)
		if r.add(now, c, suspect) {
			similar = append(similar, r)
		}
	}
	var found Findings
	if sameJob(similar) {
		l.accuse(now, similar, &found)
	}
	// What was found so far may explain crashes of the other tasks.
	l.accuse(now, selectRecords(c.suspects, (*taskRecord).isAccused), &found)
	l.giveUp(selectRecords(c.suspects, (*taskRecord).isExhausted), &found)
	l.hold(now, c)
	return found, true
}

// accuse makes tasks count as the cause of crashes. If they are of several jobs, most of
// them were beside the cause, and their classes are not isolated. If they are of one, the
// tasks beside them were not the cause.
func (l *Ledger) accuse(now time.Time, accused []*taskRecord, found *Findings) {
	fresh := l.giveUp(accused, found)
	if !sameJob(accused) {
		return
	}
	for _, r := range fresh {
		l.explain(now, r)
		r.isolates = true
		class := l.class(r.class)
		wasIsolated := !class.extend(now)
		class.addAgents(l.agentsOf(r))
		if !wasIsolated {
			found.Isolated = append(found.Isolated, r.class)
		}
	}
}

// giveUp makes tasks count as the cause of crashes, and returns those that did not before.
func (l *Ledger) giveUp(records []*taskRecord, found *Findings) []*taskRecord {
	fresh := selectRecords(records, func(r *taskRecord) bool { return !r.isCause })
	for _, r := range fresh {
		r.isCause = true
		found.Causes = append(found.Causes, r.task)
	}
	return fresh
}

func selectRecords(records []*taskRecord, match func(*taskRecord) bool) []*taskRecord {
	return slices.DeleteFunc(slices.Clone(records), func(r *taskRecord) bool { return !match(r) })
}

// explain notes that a task was the cause of all crashes that it was in, and releases the
// classes that were isolated because of a task beside it.
func (l *Ledger) explain(now time.Time, cause *taskRecord) {
	for _, c := range l.crashes {
		if !slices.Contains(c.suspects, cause) {
			continue
		}
		for _, r := range c.suspects {
			l.class(r.class).heldUntil = now
			others := r.task.Job != cause.task.Job && (c.cause == nil || r.task.Job == c.cause.task.Job)
			if others && r.exonerate() && r.isolates {
				r.isolates = false
				l.class(r.class).release(now)
			}
		}
		c.cause, c.gap = cause, cause.gap
	}
}

// sameJob reports whether all records are of tasks of one job. If tasks of several jobs
// were started together twice, the lengths of their runs don't tell them apart.
func sameJob(records []*taskRecord) bool {
	return !slices.ContainsFunc(records, func(r *taskRecord) bool { return r.task.Job != records[0].task.Job })
}

// Crashes returns in how many crashes a task was running.
func (l *Ledger) Crashes(task ccwire.TaskRef) int {
	if r := l.tasks[task]; r != nil {
		return r.crashes
	}
	return 0
}

// IsCause reports whether a task counts as the cause of crashes.
func (l *Ledger) IsCause(task ccwire.TaskRef) bool {
	r := l.tasks[task]
	return r != nil && r.isCause
}

// Empty reports whether no crash is known, so that no task needs to be looked up.
func (l *Ledger) Empty() bool { return len(l.tasks) == 0 }

// Prolong restarts the quiet time of an isolated class, because none of the workers that
// it may use is up: that no worker crashes shows nothing then.
func (l *Ledger) Prolong(now time.Time, class uint32) {
	if c := l.classes[class]; c != nil && c.isolated(now) {
		c.extend(now)
	}
}

// Isolated returns the classes that are isolated, in ascending order.
func (l *Ledger) Isolated(now time.Time) []uint32 {
	var isolated []uint32
	for _, id := range slices.Sorted(maps.Keys(l.classes)) {
		if l.classes[id].isolated(now) {
			isolated = append(isolated, id)
		}
	}
	return isolated
}

// IsolationAgents returns the agents whose workers crashed under the tasks for which a class
// is isolated, in ascending order. Entries that know the same crashes get the same agents,
// whichever crash they heard of first.
func (l *Ledger) IsolationAgents(now time.Time, class uint32) []ccnode.ID {
	if c := l.classes[class]; c != nil && c.isolated(now) {
		return c.agents
	}
	return nil
}

// agentsOf returns the agents whose workers crashed while they ran a task.
func (l *Ledger) agentsOf(r *taskRecord) []ccnode.ID {
	var agents []ccnode.ID
	for id, c := range l.crashes {
		if slices.Contains(c.suspects, r) {
			agents = append(agents, id.agent.ID)
		}
	}
	return agents
}

func (l *Ledger) class(id uint32) *classRecord {
	c := l.classes[id]
	if c == nil {
		c = &classRecord{}
		l.classes[id] = c
	}
	return c
}

func (l *Ledger) record(task ccwire.TaskRef) *taskRecord {
	r := l.tasks[task]
	if r == nil {
		r = &taskRecord{task: task}
		l.tasks[task] = r
		l.order = append(l.order, r)
	}
	return r
}

// prune drops what is older than retention, and the oldest records above maxTasks.
func (l *Ledger) prune(now time.Time) {
	maps.DeleteFunc(l.crashes, func(_ crashID, c *crashRecord) bool { return now.Sub(c.at) > retention })
	maps.DeleteFunc(l.classes, func(_ uint32, c *classRecord) bool { return !c.isolated(now) && now.Sub(c.heldAt) >= holdInterval })
	excess := len(l.order) - maxTasks
	l.order = slices.DeleteFunc(l.order, func(r *taskRecord) bool {
		excess--
		if excess < 0 && now.Sub(r.at) <= retention {
			return false
		}
		delete(l.tasks, r.task)
		return true
	})
}
