package ccroute

import (
	"testing"
	"time"
)

func TestMatch(t *testing.T) {
	plan := &Plan{Routes: Sorted([]Route{
		{Name: "short", Host: "desk", Prefix: "/a/"}, {Name: "long", Host: "desk", Prefix: "/a/b/"}, {Name: "other", Host: "radio", Prefix: "/a/"},
	})}
	for _, c := range []struct{ host, path, name, rest string }{
		{"desk", "/a/1", "short", "1"}, {"desk", "/a/b/1", "long", "1"}, {"radio", "/a/b/1", "other", "b/1"}, {"desk", "/c/1", "", ""}, {"nobody", "/a/1", "", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			route, rest, ok := plan.Match(c.host, c.path)
			if route.Name != c.name || rest != c.rest || ok != (c.name != "") {
				t.Errorf("got %q, %q, %v, want %q, %q", route.Name, rest, ok, c.name, c.rest)
			}
		})
	}
}

func TestNewer(t *testing.T) {
	var none *Plan
	if none.Newer(nil) || none.Newer(&Plan{}) {
		t.Error("a nil plan must not be newer than any other")
	}
	if !(&Plan{Revision: 2}).Newer(&Plan{Revision: 1}) || (&Plan{Revision: 1}).Newer(&Plan{Revision: 1}) {
		t.Error("a plan must be newer only if its revision is higher")
	}
}

func TestObjective(t *testing.T) {
	route := Route{Stretch: 1.6, Allowance: 60 * time.Millisecond}
	if got := route.Objective(100 * time.Millisecond); got != 220*time.Millisecond {
		t.Errorf("got %v, want 220 ms", got)
	}
}
