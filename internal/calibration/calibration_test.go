package calibration

import (
	"math"
	"math/rand/v2"
	"testing"
)

// newTrainedModel returns a model that has observed 200 jobs, with estimates that are three times
// too high on average and have random errors of the given standard deviation of their logarithm.
func newTrainedModel(noise float64) *Model {
	rng := rand.New(rand.NewPCG(1, 2))
	model := &Model{}
	for range 200 {
		ratio := math.Exp(rng.NormFloat64() * 0.7)
		estimate := 3 * 50 * ratio * math.Exp(rng.NormFloat64()*noise)
		model.ObserveEstimate(estimate)
		model.ObserveDuration(estimate, ratio)
	}
	return model
}

func TestSlopeFollowsQualityOfEstimates(t *testing.T) {
	for _, test := range []struct {
		name      string
		noise     float64
		low, high float64 // bounds of the factor for three times the typical estimate
	}{
		{"accurate estimates are followed", 0.05, 2.6, 3.2},
		{"noisy estimates are ignored", 3, 0.8, 1.35},
	} {
		t.Run(test.name, func(t *testing.T) {
			model := newTrainedModel(test.noise)
			typical := math.Exp(model.meanLogEstimate)
			if factor := model.Factor(3 * typical); factor < test.low || factor > test.high {
				t.Errorf("three times the typical estimate: got factor %v, want %v to %v", factor, test.low, test.high)
			}
			if factor := model.Factor(typical); factor != 1 {
				t.Errorf("the typical estimate: got factor %v, want 1", factor)
			}
			if factor := model.Factor(1e9 * typical); factor > maxFactor {
				t.Errorf("a huge estimate: got factor %v, want at most %v", factor, maxFactor)
			}
			if factor := model.Factor(0); factor != 1 {
				t.Errorf("no estimate: got factor %v, want 1", factor)
			}
		})
	}
}

func TestFactorIsOneWithoutHistory(t *testing.T) {
	var model Model
	if factor := model.Factor(10); factor != 1 {
		t.Errorf("got factor %v, want 1", factor)
	}
}

func TestUnusableValuesAreIgnored(t *testing.T) {
	model := newTrainedModel(0.05)
	before := *model
	for _, ratio := range []float64{0, -1, math.Inf(1), math.NaN()} {
		if model.ObserveDuration(400, ratio); *model != before {
			t.Errorf("a ratio of %v changed the model", ratio)
		}
	}
	for _, estimate := range []float64{0, -1, math.NaN()} {
		if model.ObserveEstimate(estimate); *model != before {
			t.Errorf("an estimate of %v changed the model", estimate)
		}
	}
}
