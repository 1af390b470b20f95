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
	prior  = 0.5 // the slope without any history,
	weight = 1.0 // worth so much squared deviation: four jobs off by a half each way
	widest = 4.0 // no job is predicted more than this many times off its name's mean
)

// Fit is what is known of the estimates of one name's jobs. The zero value is ready.
type Fit struct {
	n, mean float64 // of ln(estimate), over all jobs that came
	xx, xy  float64 // sums over those of which a task has completed
}

func (f *Fit) off(estimate float64) float64 {
	if estimate <= 0 || f.n == 0 {
		return 0
	}
	return math.Log(estimate) - f.mean
}

// Came counts a new job with its owner's estimate in seconds, 0 for none.
func (f *Fit) Came(estimate float64) {
	if estimate > 0 {
		f.n++
		f.mean += (math.Log(estimate) - f.mean) / f.n
	}
}

// Took counts a job whose first task took so many times what its name was predicted.
func (f *Fit) Took(estimate, times float64) {
	if x := f.off(estimate); times > 0 && !math.IsInf(times, 0) {
		f.xx += x * x
		f.xy += x * math.Log(times)
	}
}

// Factor is how many times the prediction of its name a job with this estimate is likely
// to take: 1/widest to widest.
func (f *Fit) Factor(estimate float64) float64 {
	slope := (prior*weight + f.xy) / (weight + f.xx)
	return min(max(math.Exp(min(max(slope, 0), 1)*f.off(estimate)), 1/widest), widest)
}
