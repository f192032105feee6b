package ccroute

import (
	"fmt"
	"testing"
)

// manyRoutes returns a plan with n routes at one host.
func manyRoutes(n int) *Plan {
	plan := &Plan{Revision: 1}
	for i := range n {
		plan.Routes = append(plan.Routes, Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/route-%d/", i)})
	}
	plan.Routes = Sorted(append(plan.Routes, Route{Name: "all", Host: "h", Prefix: "/"}, Route{Name: "deep", Host: "h", Prefix: "/route-1/deep/"}))
	return plan
}

func TestIndexMatchesLikeTheList(t *testing.T) {
	listed, indexed := manyRoutes(50), manyRoutes(50)
	indexed.BuildIndex()
	for _, host := range []string{"h", "other"} {
		for _, path := range []string{"/", "", "/route-1/", "/route-1/x", "/route-1/deep/x", "/route-1/deep", "/route-49/y", "/route-50/y", "/x/y"} {
			wantRoute, wantRest, wantOK := listed.Match(host, path)
			gotRoute, gotRest, gotOK := indexed.Match(host, path)
			if gotRoute != wantRoute || gotRest != wantRest || gotOK != wantOK {
				t.Errorf("%s%s: got %s %q %v, want %s %q %v", host, path, gotRoute.Name, gotRest, gotOK, wantRoute.Name, wantRest, wantOK)
			}
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{20, 1400, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			plan := manyRoutes(n)
			plan.BuildIndex()
			for b.Loop() {
				plan.Match("h", "/route-17/5c0e7a21d94b36f8")
			}
		})
	}
}
