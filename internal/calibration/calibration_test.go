package calibration

import (
	"math"
	"math/rand/v2"
	"testing"
)

// newTrainedModel observes 200 jobs whose estimates are three times too high throughout, and noisy.
func newTrainedModel(noise float64) *Model {
	luck := rand.New(rand.NewPCG(1, 2))
	model := &Model{}
	for range 200 {
		ratio := math.Exp(luck.NormFloat64() * 0.7)
		estimate := 3 * 50 * ratio * math.Exp(luck.NormFloat64()*noise)
		model.ObserveEstimate(estimate)
		model.ObserveDuration(estimate, ratio)
	}
	return model
}

func TestSlopeFollowsQualityOfEstimates(t *testing.T) {
	for _, test := range []struct {
		name      string
		noise     float64
		low, high float64 // bounds of the factor for three times the usual estimate
	}{
		{"good estimates are followed", 0.05, 2.6, 3.2},
		{"noise is ignored", 3, 0.8, 1.35},
	} {
		t.Run(test.name, func(t *testing.T) {
			model := newTrainedModel(test.noise)
			typical := math.Exp(model.meanLogEstimate)
			if factor := model.Factor(3 * typical); factor < test.low || factor > test.high {
				t.Errorf("three times the usual estimate: factor %v, not %v to %v", factor, test.low, test.high)
			}
			if factor := model.Factor(typical); factor != 1 {
				t.Errorf("the usual estimate: factor %v, not 1", factor)
			}
			if factor := model.Factor(1e9 * typical); factor > maxFactor {
				t.Errorf("a huge estimate: factor %v, more than %v", factor, maxFactor)
			}
			if factor := model.Factor(0); factor != 1 {
				t.Errorf("no estimate: factor %v, not 1", factor)
			}
		})
	}
}

func TestFactorIsOneWithoutHistory(t *testing.T) {
	var model Model
	if factor := model.Factor(10); factor != 1 {
		t.Errorf("factor %v, not 1", factor)
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
