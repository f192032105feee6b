// Package ccshare orders the waiting jobs of an entry within a priority and divides the
// capacity among routes of the same priority by their shares.
//
// A route is over its share while another route of its priority waits and it has used
// more of what they used lately than its weight entitles it to. Its jobs then go after
// theirs. What a route with no waiting jobs leaves unused goes to the others.
//
// # Usage
//
//	queue := ccshare.NewQueue(ccshare.Settings{Fair: true, Shares: map[string]float64{"nightly": 0.5}})
//	queue.Placed(now, "nightly", priority, work)
//	queue.Refresh(now, waiting)
//	first := queue.Rank(job).Compare(queue.Rank(other)) < 0
package ccshare
