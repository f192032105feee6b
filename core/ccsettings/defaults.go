package ccsettings

import "time"

// DefaultService returns the settings of a service for all keys that no section
// sets.
func DefaultService() Service {
	return Service{
		Slots:             8,
		Connections:       64,
		QueueTasks:        20_000,
		RetryBudget:       0.2,
		EjectFailureShare: 0.5,
		EjectFor:          Duration(5 * time.Second),
		MaxDeadline:       Duration(2 * time.Minute),
		MaxPayloadBytes:   64 << 10,
		Policy:            "lateBinding",
		Guards:            true,
		PreferNear:        true,
	}
}

// DefaultDomain returns the settings of a failure domain for all keys that no
// section sets.
func DefaultDomain() Domain {
	return Domain{RampUp: Duration(2 * time.Second)}
}

// DefaultTeam returns the settings of a team for all keys that no section sets.
func DefaultTeam() Team {
	return Team{Share: 1}
}

// DefaultFleet returns the fleet settings for all keys that no section sets.
func DefaultFleet() Fleet {
	return Fleet{
		Cells:       1,
		LogLevel:    "info",
		MaxClaims:   200_000,
		Retention:   Duration(10 * time.Minute),
		ClockMargin: Duration(500 * time.Millisecond),
	}
}
