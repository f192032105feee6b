package ccevent

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// maxRanges is the maximum number of task ranges listed in one sentence.
const maxRanges = 8

// agentSummary collects what happened to a job's tasks at one agent.
type agentSummary struct {
	node     ccnode.ID
	domain   string
	started  map[int]time.Time
	tasks    []int // Started here according to the agent's own events, in start order.
	shortest time.Duration
	longest  time.Duration
	ended    int
	failed   int
	// sent, answered and returned count tasks in the entries' events about this
	// agent.
	sent, answered, returned int
	reasons                  map[string]int // Number of returned tasks by reason.
}

// record adds an event of the job to the summary of the agent it concerns.
func (h *history) record(step *Step) {
	switch step.Kind {
	case KindStarted:
		p := h.agent(step.Node.ID)
		p.domain = step.Domain
		p.started[step.Index] = step.When
		p.tasks = append(p.tasks, step.Index)
	case KindFinished:
		h.agent(step.Node.ID).recordFinish(step)
	case KindSent:
		h.agent(step.Peer).sent += stepTaskCount(step)
	case KindAnswered:
		h.agent(step.Peer).answered += stepTaskCount(step)
	case KindReturned:
		p := h.agent(step.Peer)
		p.returned += stepTaskCount(step)
		p.reasons[step.Text] += stepTaskCount(step)
	default:
	}
}

func (h *history) agent(node ccnode.ID) *agentSummary {
	p := h.byNode[node]
	if p == nil {
		p = &agentSummary{node: node, started: make(map[int]time.Time), reasons: make(map[string]int)}
		h.byNode[node] = p
		h.agents = append(h.agents, p)
	}
	return p
}

// recordFinish records the end of a task. It removes a task that turned out not
// to have started because its deadline had passed or its target accepted no
// connection.
func (p *agentSummary) recordFinish(step *Step) {
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

// executions describes which tasks ran at each agent, or what the entries know
// about an agent whose own events are missing.
func (h *history) executions() []string {
	var sentences []string
	for _, p := range h.agents {
		switch {
		case len(p.tasks) > 0:
			sentences = append(sentences, p.executionText())
		case p.answered > 0:
			sentences = append(sentences, fmt.Sprintf("%s ran %s, as the answers show.", nodeName(p.node), taskCount(p.answered)))
		}
		if open := p.sent - p.answered - p.returned; open > 0 && len(p.tasks) == 0 {
			sentences = append(sentences, fmt.Sprintf("%s was sent %s of which nothing more is recorded.", nodeName(p.node), taskCount(open)))
		}
	}
	return sentences
}

func (p *agentSummary) executionText() string {
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

// returnedTasks describes how many tasks were returned unstarted, and why.
func (h *history) returnedTasks() []string {
	var sentences []string
	for _, p := range h.agents {
		if p.returned == 0 {
			continue
		}
		why := make([]string, 0, len(p.reasons))
		for text, n := range p.reasons {
			why = append(why, strings.TrimSpace(fmt.Sprintf("%d %s", n, text)))
		}
		slices.Sort(why)
		sentences = append(sentences, fmt.Sprintf("%s came back from %s unstarted (%s) and could go elsewhere.",
			taskCount(p.returned), nodeName(p.node), strings.Join(why, ", ")))
	}
	return sentences
}

// duplicateStarts lists tasks that started more than once, which must never
// happen.
func (h *history) duplicateStarts() []string {
	starts := make(map[int][]string)
	for _, p := range h.agents {
		for _, index := range p.tasks {
			starts[index] = append(starts[index], string(p.node))
		}
	}
	var duplicated []int
	for index, nodes := range starts {
		if len(nodes) > 1 {
			duplicated = append(duplicated, index)
		}
	}
	slices.Sort(duplicated)
	var sentences []string
	for _, index := range duplicated {
		sentences = append(sentences, fmt.Sprintf("Task %d started more than once: at %s.", index, strings.Join(starts[index], " and ")))
	}
	return sentences
}

// ranges formats numbers as ranges, such as "0-9, 14".
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
