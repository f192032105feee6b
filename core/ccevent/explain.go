package ccevent

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

const secondLayout = "15:04:05.000"

// Explain tells in short sentences what became of a job: who accepted it, how
// long it waited and for what, where its tasks ran, and how it ended.
func Explain(timeline Timeline, job ccjob.ID) []string {
	around := Filter{Job: job, IncludeSurrounding: true}.Apply(timeline)
	h := newHistory(around, job)
	if len(h.steps) == 0 {
		return append([]string{"No event of this job is kept."}, h.missing(true)...)
	}
	var sentences []string
	sentences = append(sentences, h.beginning()...)
	sentences = append(sentences, h.waiting()...)
	sentences = append(sentences, h.ran()...)
	sentences = append(sentences, h.returns()...)
	sentences = append(sentences, h.doubled()...)
	sentences = append(sentences, h.meanwhile()...)
	sentences = append(sentences, h.end()...)
	return append(sentences, h.missing(false)...)
}

// history is the events of one job, and those around it.
type history struct {
	lanes  []Lane
	steps  []*Step // Of the job.
	around []*Step // Of no job.
	places []*place
	byNode map[ccnode.ID]*place
}

func newHistory(timeline Timeline, job ccjob.ID) *history {
	h := &history{lanes: timeline.Lanes, byNode: make(map[ccnode.ID]*place)}
	for i := range timeline.Steps {
		step := &timeline.Steps[i]
		if step.Job != job {
			h.around = append(h.around, step)
			continue
		}
		h.steps = append(h.steps, step)
		h.note(step)
	}
	return h
}

// first returns the first step of one of the kinds, or nil.
func (h *history) first(kinds ...Kind) *Step {
	for _, step := range h.steps {
		if slices.Contains(kinds, step.Kind) {
			return step
		}
	}
	return nil
}

// beginning tells who got the job, and who may drive it.
func (h *history) beginning() []string {
	var sentences []string
	for i, step := range h.steps {
		text := beginningText(step)
		if step.Kind == KindRecovered {
			text = h.recoveredText(i)
		}
		if text != "" && (len(sentences) == 0 || sentences[len(sentences)-1] != text) {
			sentences = append(sentences, text)
		}
	}
	return sentences
}

// driverBefore returns who drove the job last before a step, when that was
// another process, or nobody.
func (h *history) driverBefore(index int) ccnode.ID {
	own := h.steps[index].Node.ID
	for _, step := range slices.Backward(h.steps[:index]) {
		driver := ccnode.ID("")
		switch step.Kind {
		case KindClaimed, KindSent:
			driver = step.Node.ID
		case KindGranted, KindStarted:
			driver = step.Peer
		default:
		}
		if driver != "" && driver != own {
			return driver
		}
	}
	return ""
}

// recoveredText tells of a take-over, and how long the agents were asked.
func (h *history) recoveredText(index int) string {
	step := h.steps[index]
	from := cmp.Or(step.Peer, h.driverBefore(index), "an entry that is gone")
	text := fmt.Sprintf("%s took it over from %s at %s", step.Node.ID, from, step.When.UTC().Format(secondLayout))
	for _, granted := range slices.Backward(h.steps[:index]) {
		if granted.Kind == KindGranted && granted.Peer == step.Node.ID {
			text += ", having asked the agents for " + shortDuration(step.When.Sub(granted.When))
			break
		}
	}
	return text + reason(step) + "."
}

func beginningText(step *Step) string {
	node, at := step.Node.ID, step.When.UTC().Format(secondLayout)
	switch step.Kind {
	case KindAccepted:
		return fmt.Sprintf("%s accepted it at %s with %s%s.", node, at, taskCount(tasks(step)), ofTeam(step))
	case KindGranted:
		if step.Peer == "" || step.Peer == node {
			return ""
		}
		if step.Text == string(ccwire.ClaimRecover) {
			return fmt.Sprintf("%s let %s take it over.", node, step.Peer)
		}
		return fmt.Sprintf("%s let %s drive it.", node, step.Peer)
	case KindAttached:
		if step.Peer == node {
			return fmt.Sprintf("%s got it again at %s.", node, at)
		}
		return fmt.Sprintf("%s got it too at %s and waited for %s.", node, at, orSomeone(step.Peer))
	default:
		return ""
	}
}

// waiting splits the time until the first start.
func (h *history) waiting() []string {
	accepted, claimed := h.first(KindAccepted), h.first(KindClaimed)
	sent, started := h.first(KindSent), h.first(KindStarted)
	if accepted == nil {
		return nil
	}
	under := first(sent, started)
	if under == nil {
		return []string{"No task was sent to an agent."}
	}
	if under.When.Before(accepted.When) {
		return []string{fmt.Sprintf("Its first task was under way at %s, for an entry whose events are missing.", under.When.UTC().Format(secondLayout))}
	}
	var parts []string
	from := accepted.When
	until := func(step *Step, what string) {
		if step != nil && step.When.After(from) {
			parts = append(parts, shortDuration(step.When.Sub(from))+" "+what)
			from = step.When
		}
	}
	until(claimed, "for the claim")
	until(sent, "in the queue")
	until(started, "on the way to the agent")
	sentences := []string{fmt.Sprintf("It waited %s before its first task was under way%s.", shortDuration(from.Sub(accepted.When)), list(": ", parts))}
	if last := h.last(KindStarted); last != nil && last != started {
		sentences = append(sentences, fmt.Sprintf("Its last task started %s after it was accepted.", shortDuration(last.When.Sub(accepted.When))))
	}
	return sentences
}

// list joins the parts behind a prefix. It is empty without parts.
func list(prefix string, parts []string) string {
	if len(parts) == 0 {
		return ""
	}
	return prefix + strings.Join(parts, ", ")
}

// first returns the earlier of two steps, either of which may be nil.
func first(a, b *Step) *Step {
	if a == nil || b != nil && b.When.Before(a.When) {
		return b
	}
	return a
}

func (h *history) last(kind Kind) *Step {
	for _, step := range slices.Backward(h.steps) {
		if step.Kind == kind {
			return step
		}
	}
	return nil
}

func tasks(step *Step) int { return max(1, step.Count) }

func taskCount(n int) string {
	if n == 1 {
		return "1 task"
	}
	return fmt.Sprintf("%d tasks", n)
}

func ofTeam(step *Step) string {
	if step.Team == "" {
		return ""
	}
	return " of team " + step.Team
}

func orSomeone(id ccnode.ID) string {
	if id == "" {
		return "another process"
	}
	return string(id)
}

func reason(step *Step) string {
	if step.Text == "" {
		return ""
	}
	return ": " + step.Text
}

// shortDuration writes a duration with three figures or so.
func shortDuration(d time.Duration) string {
	switch {
	case d < time.Millisecond:
		return d.Round(time.Microsecond).String()
	case d < time.Second:
		return d.Round(100 * time.Microsecond).String()
	default:
		return d.Round(10 * time.Millisecond).String()
	}
}
