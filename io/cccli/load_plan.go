package cccli

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccload"
)

// plan reads the recorded trace, or plans the load that the flags ask for.
func (f *loadFlags) plan(profile ccload.Profile) (*ccload.Plan, error) {
	if *f.traceIn != "" {
		file, err := os.Open(*f.traceIn)
		if err != nil {
			return nil, errors.Annotate(err, "read trace")
		}
		defer func() { _ = file.Close() }()
		plan, err := ccload.ReadTrace(file)
		return plan, errors.Trace(err)
	}
	cfg := ccload.PlanConfig{
		Profile: profile, Load: *f.load, Duration: *f.duration, Seed: *f.seed, Shape: ccload.Shape(*f.shape),
		Flood: ccload.Flood{Team: floodTeam, Load: *f.flood}, LeaveShare: *f.leave,
	}
	for _, text := range *f.bursts {
		burst, err := parseBurst(text)
		if err != nil {
			return nil, err
		}
		cfg.Bursts = append(cfg.Bursts, burst)
	}
	for _, text := range *f.waves {
		wave, err := parseWave(text)
		if err != nil {
			return nil, err
		}
		cfg.CancelWaves = append(cfg.CancelWaves, wave)
	}
	plan, err := ccload.NewPlan(cfg)
	if err != nil {
		return nil, &usageError{text: err.Error()}
	}
	return plan, nil
}

// faultPlan returns the built-in plan of that name, or reads a file.
func (f *loadFlags) faultPlan(plan *ccload.Plan, profile ccload.Profile) ([]ccfault.Fault, error) {
	if slices.Contains(ccfault.BuiltinNames, *f.faults) {
		faults, err := ccfault.Builtin(*f.faults, plan.Duration, profile.Domains[0])
		return faults, errors.Trace(err)
	}
	data, err := os.ReadFile(*f.faults)
	if err != nil {
		return nil, &usageError{text: "--faults takes a file or one of " + strings.Join(ccfault.BuiltinNames, ", ") + ": " + err.Error()}
	}
	faults, err := ccfault.Parse(data)
	return faults, errors.Annotate(err, *f.faults)
}

func parseBurst(text string) (ccload.Burst, error) {
	wrong := &usageError{text: "--burst takes AT,FOR,FACTOR such as 10s,2s,3, not " + text}
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return ccload.Burst{}, wrong
	}
	at, atErr := time.ParseDuration(parts[0])
	length, lengthErr := time.ParseDuration(parts[1])
	factor, factorErr := strconv.ParseFloat(parts[2], 64)
	if atErr != nil || lengthErr != nil || factorErr != nil {
		return ccload.Burst{}, wrong
	}
	return ccload.Burst{At: at, Duration: length, Factor: factor}, nil
}

func parseWave(text string) (ccload.CancelWave, error) {
	wrong := &usageError{text: "--cancel takes AT,SHARE such as 10s,0.5, not " + text}
	first, second, _ := strings.Cut(text, ",")
	at, atErr := time.ParseDuration(first)
	share, shareErr := strconv.ParseFloat(second, 64)
	if atErr != nil || shareErr != nil {
		return ccload.CancelWave{}, wrong
	}
	return ccload.CancelWave{At: at, Share: share}, nil
}
