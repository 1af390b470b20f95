// Package calibration learns how much the owners' estimates tell apart jobs of one name. It is
// pure.
//
// Predictions come from the history of a name, so all jobs of a name are predicted alike.
// Where their lengths differ, the owner's own estimate may know; how much it is worth is
// learned, too: the slope of the logarithm of what jobs took, against that of what was
// estimated. A slope of 1 follows the estimate, one of 0 ignores it. Only ratios within
// a name count, so it makes no difference that owners estimate too much or too little on
// some days. The slope is drawn towards a half until history outweighs that (ridge
// regression), which is about right for estimates that are off by as much as the lengths
// themselves differ.
package calibration

import "math"

const (
	priorSlope  = 0.5 // the slope without any history,
	priorWeight = 1.0 // worth so much squared deviation: four jobs off by a half each way
	maxFactor   = 4.0 // no job is predicted more than this many times off its name's mean
)

// Model is what is known of the estimates of one name's jobs. The zero value is ready.
type Model struct {
	estimates, meanLogEstimate float64 // of ln(estimate), over all jobs that came
	sumSquares, sumProducts    float64 // sums over those of which a task has completed
}

func (f *Model) logDeviation(estimate float64) float64 {
	if estimate <= 0 || f.estimates == 0 {
		return 0
	}
	return math.Log(estimate) - f.meanLogEstimate
}

// ObserveEstimate counts a new job with its owner's estimate in seconds, 0 for none.
func (f *Model) ObserveEstimate(estimate float64) {
	if estimate > 0 {
		f.estimates++
		f.meanLogEstimate += (math.Log(estimate) - f.meanLogEstimate) / f.estimates
	}
}

// ObserveDuration counts a job whose first task took so many times what its name was predicted.
func (f *Model) ObserveDuration(estimate, times float64) {
	if x := f.logDeviation(estimate); times > 0 && !math.IsInf(times, 0) {
		f.sumSquares += x * x
		f.sumProducts += x * math.Log(times)
	}
}

// Factor is how many times the prediction of its name a job with this estimate is likely
// to take: 1/widest to widest.
func (f *Model) Factor(estimate float64) float64 {
	slope := (priorSlope*priorWeight + f.sumProducts) / (priorWeight + f.sumSquares)
	return min(max(math.Exp(min(max(slope, 0), 1)*f.logDeviation(estimate)), 1/maxFactor), maxFactor)
}
