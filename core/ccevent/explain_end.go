package ccevent

import (
	"fmt"

	"camphorcroft/core/ccnode"
)

// surroundingEvents describes what happened to the processes that took part in
// the job while it lasted.
func (h *history) surroundingEvents() []string {
	var sentences []string
	versions := make(map[int]int) // Index of the sentence about each settings version.
	reached := make(map[int]int)  // Number of processes each version reached.
	for _, step := range h.surrounding {
		text := surroundingText(step)
		if step.Kind == KindVersion {
			if reached[step.Count]++; reached[step.Count] > 1 {
				sentences[versions[step.Count]] = fmt.Sprintf("Meanwhile settings version %d came into force at %d processes.", step.Count, reached[step.Count])
				continue
			}
			versions[step.Count] = len(sentences)
		}
		if text != "" {
			sentences = append(sentences, fmt.Sprintf("At %s %s.", step.When.UTC().Format(secondLayout), text))
		}
	}
	return sentences
}

func surroundingText(step *Step) string {
	node, peer := step.Node.ID, nodeName(step.Peer)
	switch step.Kind {
	case KindUp:
		return fmt.Sprintf("%s started", node)
	case KindDown:
		return fmt.Sprintf("%s stopped", node)
	case KindDraining:
		return fmt.Sprintf("%s began to drain", node)
	case KindAgentDown:
		return fmt.Sprintf("%s lost %s%s", node, peer, reasonSuffix(step))
	case KindAgentUp:
		return fmt.Sprintf("%s reached %s", node, peer)
	case KindEjected:
		return fmt.Sprintf("%s ejected %s%s", node, peer, reasonSuffix(step))
	case KindPaused:
		return fmt.Sprintf("%s noticed that it had been paused%s", node, reasonSuffix(step))
	case KindOutage:
		return fmt.Sprintf("%s saw that the store is down for all", node)
	case KindCutOff:
		return fmt.Sprintf("%s was cut off from the store and stopped sending", node)
	case KindLeaseLost:
		return fmt.Sprintf("%s lost its lease", node)
	case KindVersion:
		return fmt.Sprintf("settings version %d came into force at %s", step.Count, node)
	default:
		return ""
	}
}

// outcomes describes how the job ended at each entry that handled it.
func (h *history) outcomes() []string {
	accepted := h.first(KindAccepted)
	var sentences []string
	for _, step := range h.steps {
		after := " at " + step.When.UTC().Format(secondLayout)
		if accepted != nil {
			after = " after " + shortDuration(step.When.Sub(accepted.When))
		}
		if text := outcomeText(step, after); text != "" {
			sentences = append(sentences, text)
		}
	}
	if len(sentences) == 0 {
		return []string{"No end of it is recorded."}
	}
	return sentences
}

func outcomeText(step *Step, after string) string {
	node := step.Node.ID
	switch step.Kind {
	case KindCompleted:
		return fmt.Sprintf("%s answered it whole%s.", node, after)
	case KindFailed:
		return fmt.Sprintf("%s failed it%s%s.", node, after, reasonSuffix(step))
	case KindRefused:
		return fmt.Sprintf("%s refused it%s%s. No task of it ran for that submission.", node, after, reasonSuffix(step))
	case KindCanceled:
		return fmt.Sprintf("Its client canceled it at %s%s.", node, after)
	default:
		return ""
	}
}

// incompleteProcesses lists the processes whose events are missing in whole or in
// part, either among those of the job or among all.
func (h *history) incompleteProcesses(all bool) []string {
	named := make(map[ccnode.ID]bool)
	for _, step := range h.steps {
		named[step.Node.ID], named[step.Peer], named[step.Cause.Node] = true, true, true
	}
	var sentences []string
	for i := range h.lanes {
		l := &h.lanes[i]
		switch {
		case !all && !named[l.Node.ID]:
		case l.Silent && l.Mentions != nil:
			sentences = append(sentences, fmt.Sprintf("%s is silent; %s named it last, at %s (%s).",
				l.Node.ID, l.Mentions.By, l.Mentions.Last.UTC().Format(secondLayout), l.Mentions.Kind))
		case l.Silent:
			sentences = append(sentences, fmt.Sprintf("%s is silent.", l.Node.ID))
		case l.Dropped > 0:
			sentences = append(sentences, fmt.Sprintf("%s has dropped %s, so some may be missing here.", l.Node.ID, eventCount(l.Dropped)))
		}
	}
	return sentences
}
