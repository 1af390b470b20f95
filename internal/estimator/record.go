package estimator

import (
	"cmp"
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Sizes in bytes, as the state service counts them (see protocol.JSONSize).
const (
	emptyRecordBytes = 16 // the record without any mean
	separatorBytes   = 2  // separator between two means
)

// storedMeanScale makes stored means round to hundredths of a second, so that more of them fit into
// a record. Predictions are less accurate than that.
const storedMeanScale = 100

// Load replaces the history by a stored one, nil for none, and discards the calibration of owners'
// estimates. Version does not change.
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

// Record returns the history in its stored form, the newest means first, as many as fit into
// maxBytes. Means that do not fit remain in this estimator only. If there are more than maxKeys
// keys, Record deletes the least recently observed ones from the history: keys that are never used
// again would accumulate otherwise.
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

// countWithin returns how many of the means, from the first, fit into a record of maxBytes.
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
