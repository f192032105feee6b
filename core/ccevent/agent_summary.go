package ccevent

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// maxRanges bounds the ranges of task numbers that one sentence lists.
const maxRanges = 8

// place is what became of a job's tasks at one agent.
type place struct {
	node     ccnode.ID
	domain   string
	started  map[int]time.Time
	tasks    []int // Started here, by the agent's own events, in their order.
	shortest time.Duration
	longest  time.Duration
	ended    int
	failed   int
	// Sent, answered and returned count the entries' events about this agent.
	sent, answered, returned int
	reasons                  map[string]int // Why tasks came back, with their number.
}

// note adds an event of the job to the place that it tells of.
func (h *history) note(step *Step) {
	switch step.Kind {
	case KindStarted:
		p := h.place(step.Node.ID)
		p.domain = step.Domain
		p.started[step.Index] = step.When
		p.tasks = append(p.tasks, step.Index)
	case KindFinished:
		h.place(step.Node.ID).finish(step)
	case KindSent:
		h.place(step.Peer).sent += tasks(step)
	case KindAnswered:
		h.place(step.Peer).answered += tasks(step)
	case KindReturned:
		p := h.place(step.Peer)
		p.returned += tasks(step)
		p.reasons[step.Text] += tasks(step)
	default:
	}
}

func (h *history) place(node ccnode.ID) *place {
	p := h.byNode[node]
	if p == nil {
		p = &place{node: node, started: make(map[int]time.Time), reasons: make(map[string]int)}
		h.byNode[node] = p
		h.places = append(h.places, p)
	}
	return p
}

// finish notes the end of a task. One that turned out not to have started, since
// its time was over or its target took no connection, is taken back.
func (p *place) finish(step *Step) {
	began, known := p.started[step.Index]
	if !known {
		return
	}
	code := ccwire.TaskCode(step.Text)
	if !code.Started() {
		delete(p.started, step.Index)
		p.tasks = slices.DeleteFunc(p.tasks, func(index int) bool { return index == step.Index })
		return
	}
	if code == ccwire.CodeFailed || code == ccwire.CodeLost {
		p.failed++
	}
	took := step.When.Sub(began)
	if p.ended == 0 || took < p.shortest {
		p.shortest = took
	}
	p.longest = max(p.longest, took)
	p.ended++
}

// ran tells which tasks ran at each agent, or what the entries know of an agent
// whose own events are missing.
func (h *history) ran() []string {
	var sentences []string
	for _, p := range h.places {
		switch {
		case len(p.tasks) > 0:
			sentences = append(sentences, p.ranText())
		case p.answered > 0:
			sentences = append(sentences, fmt.Sprintf("%s ran %s, as the answers show.", orSomeone(p.node), taskCount(p.answered)))
		}
		if open := p.sent - p.answered - p.returned; open > 0 && len(p.tasks) == 0 {
			sentences = append(sentences, fmt.Sprintf("%s was sent %s of which nothing more is recorded.", orSomeone(p.node), taskCount(open)))
		}
	}
	return sentences
}

func (p *place) ranText() string {
	where := string(p.node)
	if p.domain != "" {
		where += " (" + p.domain + ")"
	}
	text := fmt.Sprintf("%s ran %s: %s", where, taskCount(len(p.tasks)), ranges(p.tasks))
	if p.ended == 0 {
		return text + "; no end is recorded there."
	}
	text += ", in " + shortDuration(p.shortest)
	if p.shortest != p.longest {
		text += " to " + shortDuration(p.longest)
	}
	if p.failed > 0 {
		text += fmt.Sprintf("; %d failed", p.failed)
	}
	if open := len(p.tasks) - p.ended; open > 0 {
		text += fmt.Sprintf("; %d did not end", open)
	}
	return text + "."
}

// returns tells what came back unstarted and why.
func (h *history) returns() []string {
	var sentences []string
	for _, p := range h.places {
		if p.returned == 0 {
			continue
		}
		why := make([]string, 0, len(p.reasons))
		for text, n := range p.reasons {
			why = append(why, strings.TrimSpace(fmt.Sprintf("%d %s", n, text)))
		}
		slices.Sort(why)
		sentences = append(sentences, fmt.Sprintf("%s came back from %s unstarted (%s) and could go elsewhere.",
			taskCount(p.returned), orSomeone(p.node), strings.Join(why, ", ")))
	}
	return sentences
}

// doubled names tasks that started more than once, which must never be.
func (h *history) doubled() []string {
	starts := make(map[int][]string)
	for _, p := range h.places {
		for _, index := range p.tasks {
			starts[index] = append(starts[index], string(p.node))
		}
	}
	var doubled []int
	for index, nodes := range starts {
		if len(nodes) > 1 {
			doubled = append(doubled, index)
		}
	}
	slices.Sort(doubled)
	var sentences []string
	for _, index := range doubled {
		sentences = append(sentences, fmt.Sprintf("Task %d started more than once: at %s.", index, strings.Join(starts[index], " and ")))
	}
	return sentences
}

// ranges writes numbers as ranges, such as "0-9, 14".
func ranges(numbers []int) string {
	sorted := slices.Compact(slices.Sorted(slices.Values(numbers)))
	var parts []string
	for i := 0; i < len(sorted); {
		j := i
		for j+1 < len(sorted) && sorted[j+1] == sorted[j]+1 {
			j++
		}
		if len(parts) == maxRanges {
			return strings.Join(parts, ", ") + ", …"
		}
		if i == j {
			parts = append(parts, fmt.Sprint(sorted[i]))
		} else {
			parts = append(parts, fmt.Sprintf("%d-%d", sorted[i], sorted[j]))
		}
		i = j + 1
	}
	return strings.Join(parts, ", ")
}
