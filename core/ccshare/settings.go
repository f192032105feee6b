package ccshare

import "maps"

// Settings are the order of the queue and the shares of routes. The zero value is the
// order by objective.
type Settings struct {
	// Fair orders by rank instead of by objective.
	Fair bool
	// Shares are the weights of routes by name, finite and at least 0. A route without one
	// has defaultWeight.
	Shares map[string]float64
}

// defaultWeight is the weight of a route without a share.
const defaultWeight = 1

// Equal reports whether both have the same effect.
func (s Settings) Equal(other Settings) bool {
	return s.Fair == other.Fair && maps.Equal(s.Shares, other.Shares)
}

func (s Settings) weight(name string) float64 {
	if weight, ok := s.Shares[name]; ok {
		return weight
	}
	return defaultWeight
}
