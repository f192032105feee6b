package ccload

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func newTestPlan(t *testing.T, change func(*PlanConfig)) *Plan {
	t.Helper()
	profile, err := ProfileByName("rambirambi")
	if err != nil {
		t.Fatal(err)
	}
	cfg := PlanConfig{Profile: profile, Load: 0.7, Duration: 60 * time.Second, Seed: 7}
	if change != nil {
		change(&cfg)
	}
	plan, err := NewPlan(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func encode(t *testing.T, plan *Plan) string {
	t.Helper()
	var buffer bytes.Buffer
	if err := plan.WriteTrace(&buffer); err != nil {
		t.Fatal(err)
	}
	return buffer.String()
}

func assertNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if got < want-tolerance || got > want+tolerance {
		t.Errorf("%s is %.4f, want %.4f within %.4f", what, got, want, tolerance)
	}
}

func TestPlan(t *testing.T) {
	t.Run("sameSeedSamePlan", func(t *testing.T) {
		first, second := newTestPlan(t, nil), newTestPlan(t, nil)
		if encode(t, first) != encode(t, second) {
			t.Error("two plans with the same seed differ")
		}
	})
	t.Run("otherSeedOtherPlan", func(t *testing.T) {
		other := newTestPlan(t, func(cfg *PlanConfig) { cfg.Seed = 8 })
		if encode(t, newTestPlan(t, nil)) == encode(t, other) {
			t.Error("two plans with different seeds are equal")
		}
	})
	t.Run("workIsTheLoad", func(t *testing.T) {
		profile, _ := ProfileByName("rambirambi")
		plan := newTestPlan(t, nil)
		got := plan.Work().Seconds() / (NominalCapacity(profile.Targets) * plan.Duration.Seconds())
		assertNear(t, "load", got, 0.7, 0.001)
	})
	t.Run("shapeOfTheWork", func(t *testing.T) {
		plan := newTestPlan(t, func(cfg *PlanConfig) { cfg.Duration = 10 * time.Minute })
		single, resubmitted := 0, 0
		for _, arrival := range plan.Arrivals {
			if len(arrival.Tasks) == 1 {
				single++
			}
			if arrival.ResubmitAfter > 0 {
				resubmitted++
			}
			if len(arrival.Tasks) > 1500 || arrival.At < 0 || arrival.At > plan.Duration {
				t.Fatalf("arrival %d is out of range", arrival.Number)
			}
		}
		jobs := float64(len(plan.Arrivals))
		assertNear(t, "share of single tasks", float64(single)/jobs, 0.53, 0.03)
		assertNear(t, "share resubmitted", float64(resubmitted)/jobs, 0.01, 0.004)
	})
	t.Run("burstMultipliesTheRate", func(t *testing.T) {
		burst := Burst{At: 20 * time.Second, Duration: 10 * time.Second, Factor: 3}
		plan := newTestPlan(t, func(cfg *PlanConfig) { cfg.Bursts = []Burst{burst} })
		inside := 0
		for _, arrival := range plan.Arrivals {
			if arrival.At >= burst.At && arrival.At < burst.At+burst.Duration {
				inside++
			}
		}
		// 10 s at rate 3, out of 50 s at rate 1 plus 10 s at rate 3.
		assertNear(t, "share in the burst", float64(inside)/float64(len(plan.Arrivals)), 30.0/80, 0.03)
	})
	t.Run("floodIsAddedToTheLoad", func(t *testing.T) {
		plan := newTestPlan(t, func(cfg *PlanConfig) { cfg.Flood = Flood{Team: "flooder", Load: 1} })
		var flood time.Duration
		for i := range plan.Arrivals {
			if plan.Arrivals[i].Team == "flooder" {
				flood += plan.Arrivals[i].Work()
			}
		}
		assertNear(t, "share of the flood", flood.Seconds()/plan.Work().Seconds(), 1/1.7, 0.001)
	})
	t.Run("cancelWaveCancelsRecentJobs", func(t *testing.T) {
		plan := newTestPlan(t, func(cfg *PlanConfig) { cfg.CancelWaves = []CancelWave{{At: 10 * time.Second, Share: 1}} })
		canceled := 0
		for _, arrival := range plan.Arrivals {
			if arrival.CancelAfter > 0 {
				canceled++
				if arrival.At+arrival.CancelAfter != 10*time.Second {
					t.Errorf("arrival %d is not canceled at the time of the wave", arrival.Number)
				}
			}
		}
		if canceled == 0 {
			t.Error("the wave canceled nothing")
		}
	})
	t.Run("burstOutsideTheRunIsRejected", func(t *testing.T) {
		profile, _ := ProfileByName("maregrafo")
		_, err := NewPlan(PlanConfig{
			Profile: profile, Load: 1, Duration: time.Second, Bursts: []Burst{{At: 2 * time.Second, Duration: time.Second, Factor: 3}},
		})
		if err == nil {
			t.Error("a burst after the end was accepted")
		}
	})
}

func TestTrace(t *testing.T) {
	t.Run("readsWhatItWrote", func(t *testing.T) {
		plan := newTestPlan(t, func(cfg *PlanConfig) { cfg.LeaveShare = 0.1 })
		first := encode(t, plan)
		read, err := ReadTrace(strings.NewReader(first))
		if err != nil {
			t.Fatal(err)
		}
		if encode(t, read) != first {
			t.Error("the trace changed after reading and writing it")
		}
	})
	for name, text := range map[string]string{
		"unknownKey":  `{"atMS":1,"service":"s","team":"t","deadlineMS":1,"tasksMS":[1],"color":1}`,
		"noTasks":     `{"atMS":1,"service":"s","team":"t","deadlineMS":1,"tasksMS":[]}`,
		"noDeadline":  `{"atMS":1,"service":"s","team":"t","tasksMS":[5]}`,
		"notJSONLine": `atMS=1`,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ReadTrace(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), "arrival 1") {
				t.Errorf("got error %v, want one that names arrival 1", err)
			}
		})
	}
}
