package calibration

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Owners whose estimates are good are followed, those whose estimates are noise are not,
// and estimates that are three times too high throughout make no difference.
func TestSlopeFollowsQualityOfEstimates(t *testing.T) {
	for _, c := range []struct{ noise, low, high float64 }{{0.05, 2.6, 3.2}, {3, 0.8, 1.35}} {
		r := rand.New(rand.NewPCG(1, 2))
		var f Model
		for range 200 {
			real := math.Exp(r.NormFloat64() * 0.7)
			estimate := 3 * 50 * real * math.Exp(r.NormFloat64()*c.noise)
			f.ObserveEstimate(estimate)
			f.ObserveDuration(estimate, real)
		}
		typical := math.Exp(f.meanLogEstimate)
		if x := f.Factor(3 * typical); x < c.low || x > c.high {
			t.Errorf("with noise %v three times the usual estimate is taken for %v times the work", c.noise, x)
		}
		if f.Factor(typical) != 1 || f.Factor(1e9*typical) > maxFactor || f.Factor(0) != 1 {
			t.Error(f.Factor(typical), f.Factor(1e9*typical), f.Factor(0))
		}
	}
	var none Model
	if none.Factor(10) != 1 {
		t.Error("without any history all jobs of a name are alike")
	}
}
