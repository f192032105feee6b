package ccproof

import (
	"fmt"
	"strings"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccwire"
)

// violationClass says why a task ran twice at once.
type violationClass string

const (
	// classLateFirst is a late start that reached a restarted worker before any other call
	// (KNOWN-RED.txt, entry 1).
	classLateFirst violationClass = "late start before the first call to a restarted worker"
	// classLateUnfenced is a late start that reached a restarted worker after other calls,
	// and was not refused.
	classLateUnfenced violationClass = "late start after other calls to a restarted worker"
	// classLateSame is a late start at the worker that it was sent to.
	classLateSame violationClass = "late start at the same worker"
	// classSession is a run that was not in a list of runs with which a session opened.
	classSession violationClass = "session opened without the run"
	// classStaleEnd is an end that its agent has reported of another run.
	classStaleEnd violationClass = "end of another run"
	// classAgent is a run that its agent has taken for over, or forgotten.
	classAgent violationClass = "agent took the run for over"
	// classEntry is a run that its entry has taken for over for another reason.
	classEntry violationClass = "entry took the run for over"
	// classOutlived is a run that was active when its entry counted on its end because its agent
	// was silent, also if the task has not been started again.
	classOutlived violationClass = "run outlives the silence of its agent"
	// classTwoEntries are runs that two entries have ordered.
	classTwoEntries violationClass = "two entries"
)

// decisions records what processes decide on runs, in order to classify a violation.
type decisions struct {
	w       *replayWorld
	agents  []agentDecision
	entries []entryDecision
	putOff  *putOff
	class   violationClass
	detail  string
	// checkOutlived has runs of classOutlived count.
	checkOutlived bool
}

// agentDecision is an end that an agent has decided on.
type agentDecision struct {
	agent  *replayAgent
	at     time.Time
	change cclease.Change
}

// entryDecision is an end other than success that an entry has decided on.
type entryDecision struct {
	entry  ccnode.ID
	at     time.Time
	change ccreplay.Change
}

func (d *decisions) agentChanged(a *replayAgent, c cclease.Change) {
	if c.Message == "Run ended." {
		d.agents = append(d.agents, agentDecision{agent: a, at: d.w.now, change: c})
	}
}

func (d *decisions) entryChanged(e *replayEntry, c ccreplay.Change) {
	d.outlived(e, c)
	if c.Message == "Run is over." || c.Message == "Start refused." || c.Message == "Run failed." {
		d.entries = append(d.entries, entryDecision{entry: e.ref.ID, at: d.w.now, change: c})
	}
}

// outlived records a violation if a run of the change is active.
func (d *decisions) outlived(e *replayEntry, c ccreplay.Change) {
	if !d.checkOutlived || d.w.violation != "" || c.Message != "Run is over." || !strings.Contains(c.Reason, "agent is silent") {
		return
	}
	worker, task := d.w.agent(c.Agent).worker, ccwire.TaskRef{Job: c.Job, Index: c.Index}
	worker.update()
	if r := worker.runs[task]; r != nil && r.origin.order.entry == e.ref.ID {
		d.class, d.detail = classOutlived, c.Reason
		d.w.violation = fmt.Sprintf("%s (%s): %v at worker %s at %v", d.class, d.detail, task, worker.id, d.w.now.Sub(d.w.start))
	}
}

func (d *decisions) entryAnswered(e *replayEntry, job string) { d.putOff.answered(e, job) }

func (d *decisions) conflict(task ccwire.TaskRef, first, second *modelRun) {
	if second.startedAt.Before(first.startedAt) {
		first, second = second, first
	}
	for _, r := range []*modelRun{first, second} {
		d.w.logf("run %d of %v at worker %s: ordered by %s, sent at %v, started at %v, first call %v",
			r.number, task, r.worker.id, r.origin.order.entry, r.origin.sent.Sub(d.w.start), r.startedAt.Sub(d.w.start), r.firstCall)
	}
	d.class, d.detail = d.classify(first, second)
	d.w.violation = fmt.Sprintf("%s (%s): %s", d.class, d.detail, d.w.violation)
}

func (d *decisions) classify(first, second *modelRun) (violationClass, string) {
	for _, r := range []*modelRun{first, second} {
		if class, late := r.lateClass(); late {
			if r.origin.manager != r.origin.agent.manager {
				return class, "of an earlier life of the agent"
			}
			return class, "of the agent's current life"
		}
	}
	for _, e := range d.agents {
		if e.agent == first.origin.agent && e.change.Task == first.task && e.change.Run == first.number && !e.at.Before(first.origin.sent) {
			return classAgent, string(e.change.End) + " " + e.change.Reason
		}
	}
	for _, e := range d.entries {
		if e.entry != first.origin.order.entry || e.change.Agent != first.origin.agent.ref.ID || e.change.Job != first.task.Job ||
			e.change.Index != first.task.Index || e.at.Before(first.origin.order.sent) {
			continue
		}
		if strings.Contains(e.change.Reason, "agent attached without") {
			return classSession, e.change.Reason
		}
		if strings.Contains(e.change.Reason, "agent is silent") || strings.Contains(e.change.Reason, "new incarnation") {
			return classEntry, e.change.Reason
		}
		return classStaleEnd, e.change.Message + " " + e.change.Reason
	}
	if first.origin.order.entry != second.origin.order.entry {
		return classTwoEntries, fmt.Sprintf("%s and %s", first.origin.order.entry, second.origin.order.entry)
	}
	return classStaleEnd, "taken for done"
}

// lateClass returns the class of a start that was executed after its call had timed out.
func (r *modelRun) lateClass() (violationClass, bool) {
	switch {
	case r.origin.sent.Before(r.worker.startedAt) && r.firstCall:
		return classLateFirst, true
	case r.origin.sent.Before(r.worker.startedAt):
		return classLateUnfenced, true
	case r.startedAt.Sub(r.origin.sent) > startTimeout:
		return classLateSame, true
	default:
		return "", false
	}
}

// startTimeout is the time-out of a start.
const startTimeout = 150 * time.Millisecond
