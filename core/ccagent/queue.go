package ccagent

import (
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccwire"
)

const (
	// maxQueueTime is how long a task may wait for a slot at the agent. A bounce
	// costs two messages, and the entry can't avoid it, since its count of free slots
	// is as old as the last report to it.
	maxQueueTime = 30 * time.Millisecond
	// runTimeWindow is roughly the number of recent tasks that determine the mean run
	// time.
	runTimeWindow = 50
)

// queuedTask is a task that found no free slot and waits up to maxQueueTime for
// one. It has not started and has no record.
type queuedTask struct {
	session  *session
	msg      ccwire.Dispatch // Without its jobs.
	part     ccwire.DispatchJob
	task     ccwire.DispatchTask
	queuedAt time.Time
}

// canQueue reports whether a slot is likely to become free within maxQueueTime.
// Nothing is queued for slow targets or before the first task has finished.
func (c *Controller) canQueue() bool {
	if c.meanRunTime <= 0 || c.Closed() {
		return false
	}
	wait := c.meanRunTime * time.Duration(len(c.queue)+1) / time.Duration(c.Slots())
	return len(c.queue) < c.Slots() && wait <= maxQueueTime
}

func (c *Controller) enqueue(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, task ccwire.DispatchTask) {
	q := queuedTask{session: s, msg: *msg, part: *part, task: task, queuedAt: now}
	q.msg.Jobs, q.part.Tasks = nil, nil
	c.queue = append(c.queue, q)
}

// processQueue starts queued tasks in order after repeating all checks, and bounces
// those that fail a check or have waited for maxQueueTime. It drops the tasks of
// sessions that have ended.
func (c *Controller) processQueue(now time.Time) {
	for len(c.queue) > 0 {
		q := &c.queue[0]
		if !q.session.connected || q.session.number != q.msg.Session {
			c.dequeue()
			continue
		}
		rec := c.jobs.findTask(q.part.ID, q.task.Index)
		if rec != nil && rec.started {
			c.answerDuplicate(now, q.session, &q.part, q.task, rec)
			c.dequeue()
			continue
		}
		code, reason := c.checkStart(now, q.session, &q.msg, &q.part, q.task, rec)
		if code == ccwire.CodeFull && now.Sub(q.queuedAt) < maxQueueTime && !c.Closed() {
			return
		}
		if code != "" {
			c.queueResult.Bounced = append(c.queueResult.Bounced, c.bounceTask(now, q.session, &q.msg, &q.part, q.task, code, reason))
		} else {
			c.queueResult.Starts = append(c.queueResult.Starts, c.startTask(now, q.session, &q.msg, &q.part, q.task))
		}
		c.dequeue()
	}
}

func (c *Controller) dequeue() {
	c.queue[0] = queuedTask{}
	c.queue = c.queue[1:]
}

// removeQueued drops a revoked task from the queue.
func (c *Controller) removeQueued(id ccjob.ID, index int) {
	c.queue = slices.DeleteFunc(c.queue, func(q queuedTask) bool { return q.part.ID == id && q.task.Index == index })
}

// TakeQueueResult returns the queued tasks that must start and those that were
// bounced since the last call.
func (c *Controller) TakeQueueResult() DispatchResult {
	result := c.queueResult
	c.queueResult = DispatchResult{}
	return result
}

// addRunTime updates the mean run time with that of a finished task.
func (c *Controller) addRunTime(runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	c.runTimeSamples = min(c.runTimeSamples+1, runTimeWindow)
	c.meanRunTime += (runTime - c.meanRunTime) / time.Duration(c.runTimeSamples)
}
