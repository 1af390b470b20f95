package estimator

import (
	"cmp"
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Sizes of a record in the form in which the store counts values.
const (
	emptyRecordBytes = 16 // the record without any mean
	separatorBytes   = 2  // between two means
)

// storedMeanScale is what a stored mean is rounded to, so that more of them fit: a prediction is not that
// good.
const storedMeanScale = 100

// Load takes over a stored history, nil for none, in place of all that was observed.
func (e *Estimator) Load(record *records.Estimates) {
	clear(e.history)
	clear(e.predictions)
	clear(e.calibrations)
	if record == nil {
		return
	}
	for _, r := range record.Means {
		e.history[keyOfRecord(&r)] = &RunningMean{mean: r.Mean, count: r.Count, lastAt: r.LastAt}
	}
}

// Record is the history as it is stored, the newest means first, as many as maxBytes hold. What
// does not fit is known to this estimator only. Keys beyond maxKeys that were not seen for longest
// are forgotten: those that never come back would pile up.
func (e *Estimator) Record(maxBytes int) records.Estimates {
	var record records.Estimates
	for _, key := range e.sortedKeys() {
		mean := e.history[key]
		record.Means = append(record.Means, records.Mean{
			Team:   key.Team,
			Class:  key.Class,
			CPUs:   key.CPUs,
			GPUs:   key.GPUs,
			Mean:   math.Round(mean.mean*storedMeanScale) / storedMeanScale,
			Count:  mean.count,
			LastAt: math.Floor(mean.lastAt),
		})
	}
	slices.SortStableFunc(record.Means, func(a, b records.Mean) int { return cmp.Compare(b.LastAt, a.LastAt) })
	for len(record.Means) > maxKeys {
		oldest := len(record.Means) - 1
		delete(e.history, keyOfRecord(&record.Means[oldest]))
		record.Means = record.Means[:oldest]
	}
	record.Means = record.Means[:countWithin(record.Means, maxBytes)]
	return record
}

// countWithin is how many of the first means a record of maxBytes holds.
func countWithin(means []records.Mean, maxBytes int) int {
	size := emptyRecordBytes
	for i := range means {
		size += protocol.JSONSize(means[i]) + separatorBytes
		if size > maxBytes {
			return i
		}
	}
	return len(means)
}

func keyOfRecord(r *records.Mean) Key { return Key{r.Team, r.Class, r.CPUs, r.GPUs} }
