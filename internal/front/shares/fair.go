package shares

import (
	"cmp"
	"math"
	"slices"
)

// demand is the work that a workspace asks for.
type demand struct {
	asked, weight float64
}

// fairLevel returns the max-min fair level of a capacity: each workspace gets what it asks for, but at most its weight
// times the level, and together they get the capacity. It is infinite if the capacity suffices for all. It reorders the
// demands.
func fairLevel(capacity float64, demands []demand) float64 {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.asked*b.weight, b.asked*a.weight) })
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for _, d := range demands {
		if d.asked*weights > capacity*d.weight {
			return max(capacity, 0) / weights
		}
		capacity -= d.asked
		weights -= d.weight
	}
	return math.Inf(1)
}
