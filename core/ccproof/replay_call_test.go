package ccproof

import (
	"time"

	"camphorcroft/core/cclease"
)

// workerCall models a call to a worker, on a connection that leads to one of its incarnations.
type workerCall struct {
	worker *modelWorker
	// incarnation is the only one that may receive the call. Zero is any.
	incarnation time.Time
	// sentTo is the incarnation that was there when the call was sent.
	sentTo time.Time
	do     func() cclease.Response
}

// call returns a call that is sent now.
func (m *modelWorker) call(incarnation time.Time, do func() cclease.Response) workerCall {
	return workerCall{worker: m, incarnation: incarnation, sentTo: m.startedAt, do: do}
}

// sendable reports whether the call is sent, as the connection leads to its incarnation. Once
// sent, a call that is executed late may be executed by any incarnation.
func (c workerCall) sendable() bool { return c.incarnation.IsZero() || c.sentTo.Equal(c.incarnation) }

// deliver has the worker execute the call.
func (c workerCall) deliver() cclease.Response {
	switch {
	case c.worker.down:
		return refused()
	case !c.sendable():
		return cclease.Response{Status: cclease.StatusNotSent, StartTime: c.worker.startedAt}
	case !c.incarnation.IsZero() && !c.worker.startedAt.Equal(c.incarnation):
		// The connection was reset when the worker crashed.
		return cclease.Response{Status: cclease.StatusNoResponse}
	default:
		return c.do()
	}
}

// unanswered is the response to a call that the worker does not answer.
func (c workerCall) unanswered() cclease.Response {
	if !c.sendable() {
		return cclease.Response{Status: cclease.StatusNotSent}
	}
	return cclease.Response{Status: cclease.StatusNoResponse}
}

// muteFor has the worker answer nothing for a while, after its next answers.
func (m *modelWorker) muteFor(d time.Duration, answers int) {
	started := m.startedAt
	m.answersLeft = answers
	m.mute = answers == 0
	m.w.schedule(d, func() {
		if m.startedAt.Equal(started) {
			m.mute, m.answersLeft = false, 0
		}
	})
}

// answered counts an answer.
func (m *modelWorker) answered() {
	if m.answersLeft > 0 {
		m.answersLeft--
		m.mute = m.answersLeft == 0
	}
}
