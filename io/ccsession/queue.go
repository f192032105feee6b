package ccsession

import "sync"

// keptQueue is the longest queue whose array is kept for reuse.
const keptQueue = 64

// queue holds the messages that wait for being sent. It takes memory only for those, since most
// connections of strangers never get one.
type queue struct {
	wake chan struct{} // Has room for one message.

	mu       sync.Mutex // Guards the fields below.
	messages []outgoingMessage
	spare    []outgoingMessage // The array of the last messages that were taken.
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// put adds a message, or reports false if the queue is full.
func (q *queue) put(m outgoingMessage) bool {
	q.mu.Lock()
	if len(q.messages) == sendQueueSize {
		q.mu.Unlock()
		return false
	}
	if q.messages == nil {
		q.messages, q.spare = q.spare, nil
	}
	q.messages = append(q.messages, m)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// take returns all messages. They are valid until the next call.
func (q *queue) take(last []outgoingMessage) []outgoingMessage {
	clear(last)
	q.mu.Lock()
	defer q.mu.Unlock()
	if last != nil && cap(last) <= keptQueue {
		q.spare = last[:0]
	}
	taken := q.messages
	q.messages = nil
	return taken
}
