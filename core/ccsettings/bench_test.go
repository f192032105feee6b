package ccsettings_test

import (
	"fmt"
	"testing"

	"camphorcroft/core/ccsettings"
)

// BenchmarkMerge measures the merge that each reader runs after a change of one
// section.
func BenchmarkMerge(b *testing.B) {
	for _, teams := range []int{46, 460} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			sections := map[string]*ccsettings.Section{}
			for n := range teams {
				name := fmt.Sprintf("team-%d", n)
				text := fmt.Sprintf("teams: {%s: {share: 2, maxTasks: 500}}\nservices: {quotes: {slots: 8, queueTasks: 5000}}", name)
				section, err := ccsettings.ParseSection(name, name, []byte(text))
				if err != nil {
					b.Fatal(err)
				}
				sections[name] = section
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ccsettings.Merge(ccsettings.Head{Version: 1}, sections, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
