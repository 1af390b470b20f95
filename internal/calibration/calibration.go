// Package calibration learns how much the owners' estimates of duration tell about jobs of one
// name.
//
// Predictions come from the history of a name, so all jobs of a name are predicted alike.
// Where their durations differ, the owner's own estimate may know; how much it is worth is
// learned, too: the slope of the logarithm of what jobs took, relative to what their name was
// predicted, against the logarithm of what was estimated, relative to the name's mean. A slope
// of 1 follows the estimate, one of 0 ignores it. Only ratios within a name count, so it makes
// no difference that owners estimate too much or too little throughout.
//
// The slope is drawn towards a half until history outweighs that (ridge regression), which is
// about right for estimates that are off by as much as the durations themselves differ.
//
// The package owns this regression and nothing else: it is pure, without clock, input or
// output, and must not know how a name is predicted or what a job is. Invariants: the factor
// of a typical estimate, of none, and of a name without history is 1; no factor is beyond
// maxFactor either way, whatever is observed.
package calibration

import "math"

const (
	priorSlope  = 0.5 // the slope without any history
	priorWeight = 1.0 // of the prior, as a sum of squared deviations: four jobs off by a half each

	// maxFactor bounds how far a prediction is moved from its name's, either way: one wrong
	// estimate must not make a job look free, or as long as all others together.
	maxFactor = 4.0
)

// Model is what is known about the estimates of one name's jobs. The zero value is ready.
type Model struct {
	estimates       float64 // how many were observed
	meanLogEstimate float64 // mean of ln(estimate) over those

	// Sums over the jobs of which a task has completed, of the deviation of ln(estimate) from
	// its mean, x, and the logarithm of actual to predicted duration, y.
	sumSquares  float64 // of x·x
	sumProducts float64 // of x·y
}

// ObserveEstimate counts a new job with its owner's estimate in seconds; 0 for none.
func (m *Model) ObserveEstimate(estimate float64) {
	if estimate > 0 {
		m.estimates++
		m.meanLogEstimate += (math.Log(estimate) - m.meanLogEstimate) / m.estimates
	}
}

// ObserveDuration counts a job whose first task has completed: its estimate, and the ratio of
// its duration to the prediction of its name.
func (m *Model) ObserveDuration(estimate, ratio float64) {
	if ratio > 0 && !math.IsInf(ratio, 0) {
		deviation := m.logDeviation(estimate)
		m.sumSquares += deviation * deviation
		m.sumProducts += deviation * math.Log(ratio)
	}
}

// Factor is how many times its name's prediction a job with this estimate is likely to take,
// 1/maxFactor to maxFactor.
func (m *Model) Factor(estimate float64) float64 {
	slope := min(max(m.slope(), 0), 1)
	factor := math.Exp(slope * m.logDeviation(estimate))
	return min(max(factor, 1/maxFactor), maxFactor)
}

// slope is the least-squares slope of y on x, with the prior.
func (m *Model) slope() float64 {
	return (priorSlope*priorWeight + m.sumProducts) / (priorWeight + m.sumSquares)
}

// logDeviation is how far ln(estimate) is from its mean; 0 where either is unknown.
func (m *Model) logDeviation(estimate float64) float64 {
	if estimate <= 0 || m.estimates == 0 {
		return 0
	}
	return math.Log(estimate) - m.meanLogEstimate
}
