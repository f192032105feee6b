package ccshare

import (
	"maps"
	"time"
)

// maxRankOffset bounds how much later than it arrived a job ranks because of its work, and
// how much earlier because of what is placed. A job is overtaken only by jobs that arrive
// within that time after it, however large it is.
const maxRankOffset = 3 * time.Second

// Queue ranks the waiting jobs of one entry by what their routes have used. It is not safe
// for concurrent use.
type Queue struct {
	settings Settings
	usage    map[Route]*usage
	over     map[Route]bool // The routes over their share as of the last Refresh.
}

// NewQueue returns a queue without recorded use.
func NewQueue(settings Settings) *Queue {
	return &Queue{settings: settings, usage: map[Route]*usage{}, over: map[Route]bool{}}
}

// Settings returns the settings in force.
func (q *Queue) Settings() Settings { return q.settings }

// SetSettings replaces the settings. The recorded use is kept, and the shares apply from
// the next Refresh.
func (q *Queue) SetSettings(settings Settings) {
	q.settings = settings
	clear(q.over)
}

// Placed records that a task of a route was placed, with the core-seconds that it is
// expected to use.
func (q *Queue) Placed(now time.Time, route Route, coreSeconds float64) {
	u := q.usage[route]
	if u == nil {
		u = &usage{}
		q.usage[route] = u
	}
	u.add(now, coreSeconds)
}

// Refresh determines which routes are over their share. Shares are divided among the
// routes with waiting jobs.
func (q *Queue) Refresh(now time.Time, waiting map[Route]bool) {
	maps.DeleteFunc(q.usage, func(_ Route, u *usage) bool { return now.Sub(u.at) > usageForgottenAfter })
	clear(q.over)
	totals := map[int]*total{}
	for route := range waiting {
		if totals[route.Priority] == nil {
			totals[route.Priority] = &total{}
		}
		t := totals[route.Priority]
		t.routes++
		t.used += q.used(now, route)
		t.weights += q.settings.weight(route.Name)
	}
	for route := range waiting {
		if t := totals[route.Priority]; t.routes > 1 && q.used(now, route) > t.used*t.share(q.settings.weight(route.Name)) {
			q.over[route] = true
		}
	}
}

func (q *Queue) used(now time.Time, route Route) float64 {
	if u := q.usage[route]; u != nil {
		return u.value(now)
	}
	return 0
}

// OverShare returns the number of routes that are over their share.
func (q *Queue) OverShare() int { return len(q.over) }

// Rank returns the rank of a job: smaller work first, less what the job has waited. A job
// of which a part is placed goes before new ones, by the size of that part: if its rest
// came too late, the capacity that it has used would be wasted. Apart from shares, the
// rank doesn't change while a job waits and nothing of it is placed.
func (q *Queue) Rank(j Job) Rank {
	offset := j.Work
	if j.Placed > 0 {
		offset = -j.Placed
	}
	return Rank{OverShare: q.over[j.Route], At: j.Arrived.Add(min(max(offset, -maxRankOffset), maxRankOffset))}
}

// total sums up the waiting routes of one priority.
type total struct {
	routes        int
	used, weights float64
}

// share returns the part that a weight is of all. Without any weight, all routes are equal.
func (t *total) share(weight float64) float64 {
	if t.weights == 0 {
		return 1 / float64(t.routes)
	}
	return weight / t.weights
}
