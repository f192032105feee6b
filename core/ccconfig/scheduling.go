package ccconfig

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Scheduling turns on optional parts of an entry's scheduling. The zero value leaves all of
// them off. docs/design describes them.
type Scheduling struct {
	// MinToleratedHosts keeps all parts off in deployments with fewer Platform.ToleratedHosts.
	// Those that tolerate the loss of several hosts have several entries per failure domain,
	// whose queues compete for the same workers.
	MinToleratedHosts int `yaml:"minToleratedHosts" validate:"min=0"`
	// Admission refuses jobs that can't be served in time when they arrive.
	Admission bool `yaml:"admission"`
	// DemandSummaries announces to agents what waits in the whole queue instead of its first
	// job.
	DemandSummaries bool `yaml:"demandSummaries"`
	// Order is how jobs of the same priority are ordered. Empty is deadline.
	Order Order `yaml:"order" validate:"omitempty,oneof=deadline fair"`
	// Shares are the weights of routes by name, for OrderFair. A route without one has 1. A
	// route with 0 only gets what the others of its priority leave unused.
	Shares map[string]float64 `yaml:"shares" validate:"dive,min=0"`
	// Placement is how a worker is chosen for a task. Empty is pace.
	Placement Placement `yaml:"placement" validate:"omitempty,oneof=pace endTime"`
}

// checkShares reports shares that don't divide anything. Negative ones are found before.
func (s *Scheduling) checkShares() error {
	sum := 0.0
	for _, route := range slices.Sorted(maps.Keys(s.Shares)) {
		share := s.Shares[route]
		if math.IsNaN(share) || share > maxShare {
			return fmt.Errorf("platform.scheduling.shares.%s is %g, and a share is a number from 0 to %g", route, share, maxShare)
		}
		sum += share
	}
	if len(s.Shares) > 0 && sum == 0 {
		return fmt.Errorf("platform.scheduling.shares are all 0, and at least one must be above")
	}
	return nil
}

// maxShare is the highest share, so that sums stay finite.
const maxShare = 1e6

// Order is how jobs of the same priority are ordered.
type Order string

const (
	// OrderDeadline puts the job first that misses its objective first.
	OrderDeadline Order = "deadline"
	// OrderFair gives each route its share.
	OrderFair Order = "fair"
)

// Placement is how a worker is chosen for a task.
type Placement string

const (
	// PlacementPace chooses the worker with the shortest expected run time.
	PlacementPace Placement = "pace"
	// PlacementEndTime chooses by the expected end of the task and the capacity left over.
	PlacementEndTime Placement = "endTime"
)

// ActiveScheduling returns the parts of the scheduling that are on in this deployment.
func (p *Platform) ActiveScheduling() Scheduling {
	if p.ToleratedHosts < p.Scheduling.MinToleratedHosts {
		return Scheduling{}
	}
	return p.Scheduling
}
