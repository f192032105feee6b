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

// Explain summarizes the history of a job in short sentences: which entry
// accepted it, how long it waited and for what, where its tasks ran, and how it
// ended.
func Explain(timeline Timeline, job ccjob.ID) []string {
	filtered := Filter{Job: job, IncludeSurrounding: true}.Apply(timeline)
	h := newHistory(filtered, job)
	if len(h.steps) == 0 {
		return append([]string{"No event of this job is kept."}, h.incompleteProcesses(true)...)
	}
	var sentences []string
	sentences = append(sentences, h.acceptance()...)
	sentences = append(sentences, h.waiting()...)
	sentences = append(sentences, h.executions()...)
	sentences = append(sentences, h.returnedTasks()...)
	sentences = append(sentences, h.duplicateStarts()...)
	sentences = append(sentences, h.surroundingEvents()...)
	sentences = append(sentences, h.outcomes()...)
	return append(sentences, h.incompleteProcesses(false)...)
}

// history holds the events of one job and the process events around it.
type history struct {
	lanes       []Lane
	steps       []*Step // Events of the job.
	surrounding []*Step // Process events, which belong to no job.
	agents      []*agentSummary
	byNode      map[ccnode.ID]*agentSummary
}

func newHistory(timeline Timeline, job ccjob.ID) *history {
	h := &history{lanes: timeline.Lanes, byNode: make(map[ccnode.ID]*agentSummary)}
	for i := range timeline.Steps {
		step := &timeline.Steps[i]
		if step.Job != job {
			h.surrounding = append(h.surrounding, step)
			continue
		}
		h.steps = append(h.steps, step)
		h.record(step)
	}
	return h
}

// first returns the first step of any of the given kinds, or nil.
func (h *history) first(kinds ...Kind) *Step {
	for _, step := range h.steps {
		if slices.Contains(kinds, step.Kind) {
			return step
		}
	}
	return nil
}

// acceptance describes which entries received the job and which may drive it.
func (h *history) acceptance() []string {
	var sentences []string
	for i, step := range h.steps {
		text := acceptanceText(step)
		if step.Kind == KindRecovered {
			text = h.recoveredText(i)
		}
		if text != "" && (len(sentences) == 0 || sentences[len(sentences)-1] != text) {
			sentences = append(sentences, text)
		}
	}
	return sentences
}

// previousDriver returns the last other process that drove the job before the
// given step, or "" if there was none.
func (h *history) previousDriver(index int) ccnode.ID {
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

// recoveredText describes a takeover and how long querying the agents took.
func (h *history) recoveredText(index int) string {
	step := h.steps[index]
	from := cmp.Or(step.Peer, h.previousDriver(index), "an entry that is gone")
	text := fmt.Sprintf("%s took it over from %s at %s", step.Node.ID, from, step.When.UTC().Format(secondLayout))
	for _, granted := range slices.Backward(h.steps[:index]) {
		if granted.Kind == KindGranted && granted.Peer == step.Node.ID {
			text += ", having asked the agents for " + shortDuration(step.When.Sub(granted.When))
			break
		}
	}
	return text + reasonSuffix(step) + "."
}

func acceptanceText(step *Step) string {
	node, at := step.Node.ID, step.When.UTC().Format(secondLayout)
	switch step.Kind {
	case KindAccepted:
		return fmt.Sprintf("%s accepted it at %s with %s%s.", node, at, taskCount(stepTaskCount(step)), teamSuffix(step))
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
		return fmt.Sprintf("%s got it too at %s and waited for %s.", node, at, nodeName(step.Peer))
	default:
		return ""
	}
}

// waiting breaks down the time from acceptance to the first start.
func (h *history) waiting() []string {
	accepted, claimed := h.first(KindAccepted), h.first(KindClaimed)
	sent, started := h.first(KindSent), h.first(KindStarted)
	if accepted == nil {
		return nil
	}
	underway := earlier(sent, started)
	if underway == nil {
		return []string{"No task was sent to an agent."}
	}
	if underway.When.Before(accepted.When) {
		return []string{fmt.Sprintf("Its first task was under way at %s, for an entry whose events are missing.", underway.When.UTC().Format(secondLayout))}
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
	sentences := []string{fmt.Sprintf("It waited %s before its first task was under way%s.", shortDuration(from.Sub(accepted.When)), joinWithPrefix(": ", parts))}
	if last := h.last(KindStarted); last != nil && last != started {
		sentences = append(sentences, fmt.Sprintf("Its last task started %s after it was accepted.", shortDuration(last.When.Sub(accepted.When))))
	}
	return sentences
}

// joinWithPrefix joins the parts after a prefix. It returns "" if there are none.
func joinWithPrefix(prefix string, parts []string) string {
	if len(parts) == 0 {
		return ""
	}
	return prefix + strings.Join(parts, ", ")
}

// earlier returns the earlier of two steps, either of which may be nil.
func earlier(a, b *Step) *Step {
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

func stepTaskCount(step *Step) int { return max(1, step.Count) }

func taskCount(n int) string {
	if n == 1 {
		return "1 task"
	}
	return fmt.Sprintf("%d tasks", n)
}

func teamSuffix(step *Step) string {
	if step.Team == "" {
		return ""
	}
	return " of team " + step.Team
}

func nodeName(id ccnode.ID) string {
	if id == "" {
		return "another process"
	}
	return string(id)
}

func reasonSuffix(step *Step) string {
	if step.Text == "" {
		return ""
	}
	return ": " + step.Text
}

// shortDuration formats a duration with about three significant digits.
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
