package ccscale

import (
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccfleet"
)

// versions returns, for each life of each node, the versions that came into
// force there, in their order.
func versions(fleet *ccfleet.Fleet) map[ccnode.Ref][]ccevent.Event {
	byNode := make(map[ccnode.Ref][]ccevent.Event)
	for _, events := range fleet.Events() {
		for _, event := range events {
			if event.Kind == ccevent.KindVersion {
				byNode[event.Node] = append(byNode[event.Node], event)
			}
		}
	}
	return byNode
}

// inForce returns how long each change took to be in force on each node. A node
// that skipped a version had it in force with the next one.
func inForce(byNode map[ccnode.Ref][]ccevent.Event, proposed map[uint64]time.Time) ([]time.Duration, int) {
	var times []time.Duration
	missing := 0
	for _, events := range byNode {
		for version, start := range proposed {
			at, ok := firstAt(events, version)
			if !ok {
				missing++
				continue
			}
			times = append(times, at.Sub(start))
		}
	}
	return times, missing
}

func firstAt(events []ccevent.Event, version uint64) (time.Time, bool) {
	for _, event := range events {
		if uint64(event.Count) >= version {
			return event.At, true
		}
	}
	return time.Time{}, false
}

// reverted counts the nodes that ever went back to an older version.
func reverted(byNode map[ccnode.Ref][]ccevent.Event) int {
	count := 0
	for _, events := range byNode {
		for i := 1; i < len(events); i++ {
			if events[i].Count < events[i-1].Count {
				count++
				break
			}
		}
	}
	return count
}
