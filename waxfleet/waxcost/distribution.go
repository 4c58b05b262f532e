package waxcost

import (
	"math"

	"waxwingdrift.org/waxfleet"
)

const (
	// bucketsPerOctave makes the bounds of a bucket differ by 19 %, so that a quantile is at
	// most 9 % off.
	bucketsPerOctave = 4
	// bucketCount buckets reach from 1 to 4 million.
	bucketCount = 22 * bucketsPerOctave
	// halfLifeMillis is the age at which an observation counts by half, so that a shift of the
	// traffic shows within a minute and rare kinds keep some observations.
	halfLifeMillis = 60_000.0
)

// distribution is a histogram of positive values with exponential bucket bounds, whose
// observations lose weight with age. HdrHistogram has no decay, and takes several kilobytes
// for the same range; this one takes 360 bytes. The weights decay only when a value is
// recorded, so that what was learned stays while there is no traffic.
type distribution struct {
	buckets [bucketCount]float32
	weight  float64
	sum     float64
	at      waxfleet.Millis
	// median is the median if medianKnown is set: it is needed more often than it changes.
	median      float64
	medianKnown bool
}

// bucketOf returns the bucket of a value.
func bucketOf(x float64) int {
	if !(x > 1) {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(x)), bucketCount-1)
}

// bucketValues holds the geometric mean of the bounds of each bucket.
var bucketValues = func() (values [bucketCount]float64) {
	for i := range values {
		values[i] = math.Exp2((float64(i) + 0.5) / bucketsPerOctave)
	}
	return values
}()

// record adds a value with a weight. It returns the factor by which earlier values have lost weight.
func (d *distribution) record(now waxfleet.Millis, x, weight float64) (decay float64) {
	decay = 1
	if d.weight > 0 && now > d.at {
		decay = math.Exp2(-float64(now-d.at) / halfLifeMillis)
		for i := range d.buckets {
			d.buckets[i] *= float32(decay)
		}
		d.weight *= decay
		d.sum *= decay
	}
	d.at, d.medianKnown = now, false
	d.buckets[bucketOf(x)] += float32(weight)
	d.weight += weight
	d.sum += weight * x
	return decay
}

// mean returns the mean; 0 if there are no values.
func (d *distribution) mean() float64 {
	if d.weight <= 0 {
		return 0
	}
	return d.sum / d.weight
}

// quantile returns the value below which the share q of the values is; 0 if there are none.
func (d *distribution) quantile(q float64) float64 {
	total := 0.0
	for _, w := range d.buckets {
		total += float64(w)
	}
	left := q * total
	for i, w := range d.buckets {
		if w > 0 && left <= float64(w) {
			return bucketValues[i]
		}
		left -= float64(w)
	}
	return 0
}

// middle returns the median; 0 if there are no values.
func (d *distribution) middle() float64 {
	if !d.medianKnown {
		d.median, d.medianKnown = d.quantile(0.5), true
	}
	return d.median
}

// residual returns the mean of what is left of the values above x; ok is false if there are
// too few of them.
func (d *distribution) residual(x float64) (mean float64, ok bool) {
	sum, weight := 0.0, 0.0
	for i := bucketOf(x); i < bucketCount; i++ {
		if v := bucketValues[i]; v > x {
			sum += float64(d.buckets[i]) * (v - x)
			weight += float64(d.buckets[i])
		}
	}
	if weight < 1 {
		return 0, false
	}
	return sum / weight, true
}
