// Package ccroute matches requests to the services that run them, using the current
// plan.
//
// A Plan is a snapshot of the operators' configuration: the routes and the failure
// domains that are taken out. Plans are immutable and ordered by Revision. A process
// replaces its plan only with a later one, so an accepted change is never reverted.
//
// # Usage
//
//	route, rest, ok := plan.Match("desk.example", "/proofs/5c0e7a21d94b36f8")
//	if plan.DomainsOut["north"] {
//		// No task is started in that domain.
//	}
package ccroute

import (
	"slices"
	"strings"
	"time"
)

// Route maps requests for a host and path prefix to a service, with the priority and
// limits of the jobs.
type Route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Service  string `json:"service"`
	Priority int    `json:"priority"` // Lower values go first, from 0.
	// MaxAttempts is the number of failed runs of one task after which its job fails.
	MaxAttempts int `json:"maxAttempts"`
	// Stretch and Allowance define the latency objective: Stretch times the duration of
	// the job's longest task, plus Allowance.
	Stretch   float64       `json:"stretch"`
	Allowance time.Duration `json:"allowance"`
	// Timeout limits the duration of a request on this route. Zero is no limit.
	Timeout time.Duration `json:"timeout"`
}

// Objective returns the latency objective of a job whose longest task takes work.
func (r Route) Objective(work time.Duration) time.Duration {
	return time.Duration(r.Stretch*float64(work)) + r.Allowance
}

// Plan is the operators' configuration as of one revision of the store.
type Plan struct {
	Revision uint64 `json:"revision"`
	// Version is the operators' version number of the configuration. Zero means that
	// there is none yet.
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"` // In the order of Sorted.
	// DomainsOut are the failure domains in which no task is started.
	DomainsOut map[string]bool `json:"domainsOut,omitempty"`
	// MaxBodyBytes limits the size of a request's body. Zero sets no limit here.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxHeaderBytes limits the size of a request's header, HeaderTimeout the time that it
	// may take, and IdleTimeout the time that a connection may be without requests. Zero
	// selects a default.
	MaxHeaderBytes int64         `json:"maxHeaderBytes,omitempty"`
	HeaderTimeout  time.Duration `json:"headerTimeout,omitempty"`
	IdleTimeout    time.Duration `json:"idleTimeout,omitempty"`

	index map[string]*hostRoutes // By host. Nil until BuildIndex.
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]Route
	lengths  []int // The distinct lengths of the prefixes, longest first.
}

// BuildIndex prepares the plan so that the cost of Match does not grow with the number
// of routes. It must be called before the plan is shared.
func (p *Plan) BuildIndex() {
	p.index = map[string]*hostRoutes{}
	for _, route := range p.Routes {
		host := p.index[route.Host]
		if host == nil {
			host = &hostRoutes{byPrefix: map[string]Route{}}
			p.index[route.Host] = host
		}
		if _, exists := host.byPrefix[route.Prefix]; exists {
			continue // The first of several equal routes is in force.
		}
		host.byPrefix[route.Prefix] = route
		if !slices.Contains(host.lengths, len(route.Prefix)) {
			host.lengths = append(host.lengths, len(route.Prefix))
		}
	}
	for _, host := range p.index {
		slices.SortFunc(host.lengths, func(a, b int) int { return b - a })
	}
}

// match returns the route with the longest prefix of path, and the rest of the path.
func (h *hostRoutes) match(path string) (Route, string, bool) {
	for _, length := range h.lengths {
		if length > len(path) {
			continue
		}
		if route, ok := h.byPrefix[path[:length]]; ok {
			return route, path[length:], true
		}
	}
	return Route{}, "", false
}

// Sorted returns a copy of the routes in the order that Match requires: longest prefix
// first.
func Sorted(routes []Route) []Route {
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	return sorted
}

// Match returns the host's route with the longest prefix of path, and the rest of the
// path after the prefix.
func (p *Plan) Match(host, path string) (Route, string, bool) {
	if p.index != nil {
		if routes := p.index[host]; routes != nil {
			return routes.match(path)
		}
		return Route{}, "", false
	}
	for _, route := range p.Routes {
		if route.Host != host {
			continue
		}
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route, rest, true
		}
	}
	return Route{}, "", false
}

// Newer reports whether p should replace the current plan, which may be nil.
func (p *Plan) Newer(current *Plan) bool {
	return p != nil && (current == nil || p.Revision > current.Revision)
}
