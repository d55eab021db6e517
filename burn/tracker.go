// Package burn tracks and reports the error budget burn rate of each service.
package burn

import (
	"sort"
	"sync"
	"time"

	"crocusstep/ident"
)

const (
	// bucketDuration is the resolution of the windows.
	bucketDuration = 15 * time.Second
	// ShortWindow shows a fast burn that is in progress.
	ShortWindow = 5 * time.Minute
	// LongWindow shows a slow burn.
	LongWindow = time.Hour

	bucketCount = int(LongWindow / bucketDuration)
)

// Sample is the counts of one or more finished requests.
type Sample struct {
	Requests int `json:"requests"`
	// WithinTarget counts the requests that met all targets of their service.
	WithinTarget int `json:"within"`
	// PrefilledTokens and WastedTokens are prompt tokens.
	PrefilledTokens ident.TokenCount `json:"prefilled"`
	WastedTokens    ident.TokenCount `json:"wasted"`
}

func (s *Sample) add(other Sample) {
	s.Requests += other.Requests
	s.WithinTarget += other.WithinTarget
	s.PrefilledTokens += other.PrefilledTokens
	s.WastedTokens += other.WastedTokens
}

// Point is one bucket of a service's history.
type Point struct {
	// Start is when the bucket begins, in Unix seconds.
	Start  int64  `json:"start"`
	Sample Sample `json:"sample"`
}

// Series is the recent samples of one service in one process.
type Series struct {
	Service ident.ServiceName `json:"service"`
	// ObjectivePercent is the percentage of requests that should meet all targets.
	ObjectivePercent float64 `json:"objective-percent"`
	// Points covers LongWindow, oldest first, without empty buckets.
	Points []Point `json:"points"`
}

// Tracker keeps the samples of LongWindow for each service in one process.
type Tracker struct {
	mutex    sync.Mutex
	services map[ident.ServiceName]*history
}

type history struct {
	objective float64
	// buckets is a ring buffer indexed by start time; Record resets a bucket that still
	// holds an older start.
	buckets [bucketCount]Point
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{services: map[ident.ServiceName]*history{}} }

// Record adds a sample to the service's current bucket.
func (t *Tracker) Record(service ident.ServiceName, objectivePercent float64, sample Sample, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h, ok := t.services[service]
	if !ok {
		h = &history{}
		t.services[service] = h
	}
	h.objective = objectivePercent
	start := now.Truncate(bucketDuration).Unix()
	bucket := &h.buckets[int(start/int64(bucketDuration.Seconds()))%bucketCount]
	if bucket.Start != start {
		*bucket = Point{Start: start}
	}
	bucket.Sample.add(sample)
}

// Series returns the samples of LongWindow of every service, sorted by name.
func (t *Tracker) Series(now time.Time) []Series {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	oldest := now.Add(-LongWindow).Unix()
	list := []Series{}
	for service, h := range t.services {
		series := Series{Service: service, ObjectivePercent: h.objective}
		for _, point := range h.buckets {
			if point.Start > oldest {
				series.Points = append(series.Points, point)
			}
		}
		sort.Slice(series.Points, func(i, j int) bool { return series.Points[i].Start < series.Points[j].Start })
		list = append(list, series)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return list
}
