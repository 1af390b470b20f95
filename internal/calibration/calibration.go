// Package calibration learns how accurately the owners of jobs estimate the durations of jobs of
// one name.
//
// Durations are predicted from the history of a name, so all jobs of a name get the same prediction.
// Where their durations differ, the owner's estimate for a job may be better. How far to follow it
// is learned by a linear regression of the logarithm of the actual duration, relative to the
// prediction for the name, on the logarithm of the estimate, relative to the mean estimate for the
// name. With a slope of 1 the estimate is followed, with a slope of 0 it is ignored. Only ratios
// within a name matter, so it makes no difference if owners always estimate too much or too little.
//
// The slope is pulled towards one half until the observations outweigh this prior (ridge
// regression). One half is about right for estimates whose errors are as large as the differences
// between the durations.
//
// The package owns this regression and nothing else. It is pure, without clock, input or output,
// and must not know how a name is predicted or what a job is. Invariants: the factor of a typical
// estimate, of a missing estimate, and of a name without history is 1; every factor is from
// 1/maxFactor to maxFactor, whatever is observed.
package calibration

import "math"

const (
	priorSlope  = 0.5 // the slope without any history
	priorWeight = 1.0 // weight of the prior, as a sum of squares; equals four jobs whose ln(estimate) deviates by one half

	// maxFactor limits by which factor an estimate can raise or lower the prediction for a name: a
	// single wrong estimate must not make a job look negligible, or as long as all others together.
	maxFactor = 4.0
)

// Model is the calibration of the estimates for jobs of one name. The zero value is ready to use. It
// is not safe for concurrent use.
type Model struct {
	estimates       float64 // number of observed estimates
	meanLogEstimate float64 // mean of ln(estimate) over the observed estimates

	// Sums over the jobs of which a task has completed. x is the deviation of ln(estimate) from
	// its mean, and y is ln(actual duration / predicted duration).
	sumSquares  float64 // sum of x·x
	sumProducts float64 // sum of x·y
}

// ObserveEstimate adds the owner's estimate for a new job, in seconds. Estimates that are not
// positive, such as 0 for none, are ignored.
func (m *Model) ObserveEstimate(estimate float64) {
	if estimate > 0 {
		m.estimates++
		m.meanLogEstimate += (math.Log(estimate) - m.meanLogEstimate) / m.estimates
	}
}

// ObserveDuration adds a job whose first task has completed: its estimate in seconds, and the ratio
// of its duration to the prediction for its name. Ratios that are not positive and finite are
// ignored.
func (m *Model) ObserveDuration(estimate, ratio float64) {
	if ratio > 0 && !math.IsInf(ratio, 0) {
		deviation := m.logDeviation(estimate)
		m.sumSquares += deviation * deviation
		m.sumProducts += deviation * math.Log(ratio)
	}
}

// Factor returns the likely ratio of the duration of a job with this estimate, in seconds, to the
// prediction for its name. It is from 1/maxFactor to maxFactor.
func (m *Model) Factor(estimate float64) float64 {
	slope := min(max(m.slope(), 0), 1)
	factor := math.Exp(slope * m.logDeviation(estimate))
	return min(max(factor, 1/maxFactor), maxFactor)
}

// slope returns the least-squares slope of y on x, including the prior.
func (m *Model) slope() float64 {
	return (priorSlope*priorWeight + m.sumProducts) / (priorWeight + m.sumSquares)
}

// logDeviation returns the deviation of ln(estimate) from its mean, or 0 if either is unknown.
func (m *Model) logDeviation(estimate float64) float64 {
	if estimate <= 0 || m.estimates == 0 {
		return 0
	}
	return math.Log(estimate) - m.meanLogEstimate
}
