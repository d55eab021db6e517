// Package meter records the metrics of one process with OpenTelemetry and exports
// them to Prometheus.
package meter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/reply"
)

// Bucket bounds in seconds. They are dense around the latency targets: 1.2 s to the
// first token, 76 ms between tokens.
var (
	timeToFirstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.2, 1.5, 2, 3, 5, 10, 30}
	interTokenBuckets       = []float64{0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.07, 0.076, 0.09, 0.12, 0.2, 0.5, 1, 5}
	costErrorBuckets        = []float64{0.1, 0.25, 0.5, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 4, 10}
	responseTimeBuckets     = []float64{0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60}
)

// Meter holds the metric instruments of one process.
type Meter struct {
	registry *prometheus.Registry
	// serviceOptions caches the metric.MeasurementOption of each ident.ServiceName,
	// which is expensive to create for every measurement.
	serviceOptions sync.Map

	requests            metric.Int64Counter
	unfinished          metric.Int64Counter
	withinTarget        metric.Int64Counter
	timeToFirstToken    metric.Float64Histogram
	interTokenLatency   metric.Float64Histogram
	responseTime        metric.Float64Histogram
	prefillTokens       metric.Int64Counter
	wastedPrefillTokens metric.Int64Counter
	quotaUse            metric.Int64Counter
	costError           metric.Float64Histogram
	engineSpeed         metric.Float64Gauge
	knowledgeAge        metric.Float64Gauge
	controlMessages     metric.Int64Counter
	controlBytes        metric.Int64Counter
	crossRegionBytes    metric.Int64Counter
	skippedRecords      metric.Int64Counter
	crossedRequests     metric.Int64Counter
	droppedClients      metric.Int64Counter
}

// NewMeter returns a Meter with its own registry.
func NewMeter() (m *Meter, err error) {
	defer fault.Annotate(&err, "set up metrics")
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithNamespace("crocusstep"), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	b := &builder{meter: provider.Meter("crocusstep")}
	m = &Meter{
		registry:            registry,
		requests:            b.counter("requests", "Requests of callers by service and outcome."),
		unfinished:          b.counter("requests.unfinished", "Requests that ended without a complete response, by service and by who ended them."),
		withinTarget:        b.counter("requests.within.target", "Requests answered within all targets of their service."),
		timeToFirstToken:    b.histogram("first.token", "Time to the first token.", timeToFirstTokenBuckets),
		interTokenLatency:   b.histogram("between.tokens", "Time between two tokens.", interTokenBuckets),
		responseTime:        b.histogram("whole.answer", "Time to the whole answer.", responseTimeBuckets),
		prefillTokens:       b.counter("prefill.tokens", "Prompt tokens sent to prefill endpoints."),
		quotaUse:            b.counter("quota.used", "Tokens or requests that workspaces used of their quotas; the largest by name."),
		wastedPrefillTokens: b.counter("wasted.prefill.tokens", "Prefilled tokens whose result no caller got."),
		costError:           b.ratios("cost.error", "Actual cost as a multiple of the predicted one, by kind of cost.", costErrorBuckets),
		engineSpeed:         b.gauge("engine.speed", "Learned speed of this keeper's engine: slowdown of prefills, seconds of a decode step."),
		knowledgeAge:        b.gauge("knowledge.age", "Seconds since which a change in the store may not be known, by kind of state."),
		controlMessages:     b.counter("control.messages", "Control messages by kind."),
		controlBytes:        b.counter("control.bytes", "Bytes of control messages by kind."),
		crossRegionBytes:    b.counter("region.link.bytes", "Bytes sent to another region."),
		skippedRecords:      b.counter("skipped.records", "Revisions of stored records that cannot be used, by kind of record."),
		crossedRequests:     b.counter("requests.crossed", "Requests that came after their connection was closed, and were not handled."),
		droppedClients:      b.counter("clients.dropped", "Connections and requests that were dropped for others, by what was used up."),
	}
	b.observe("malformed.responses", "Responses that were malformed, by what is wrong with them.", func(_ context.Context, o metric.Int64Observer) error {
		for _, f := range reply.Flaws() {
			o.Observe(reply.Count(f), metric.WithAttributes(attribute.String("flaw", string(f))))
		}
		return nil
	})
	return m, b.err
}

// Handler serves the metrics in Prometheus's format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountRequest counts a finished request by service and outcome.
func (m *Meter) CountRequest(service ident.ServiceName, outcome string, withinTarget bool) {
	option := m.serviceOption(service)
	m.requests.Add(context.Background(), 1, option, metric.WithAttributes(attribute.String("outcome", outcome)))
	if withinTarget {
		m.withinTarget.Add(context.Background(), 1, option)
	}
}

// CountUnfinished counts a request that ended without a complete response, by who ended it.
func (m *Meter) CountUnfinished(service ident.ServiceName, endedBy string) {
	m.unfinished.Add(context.Background(), 1, m.serviceOption(service), metric.WithAttributes(attribute.String("ended-by", endedBy)))
}

// RecordTimeToFirstToken records the time from a request's arrival to its first token.
func (m *Meter) RecordTimeToFirstToken(service ident.ServiceName, duration time.Duration) {
	m.timeToFirstToken.Record(context.Background(), duration.Seconds(), m.serviceOption(service))
}

// RecordInterTokenLatency records the time between two tokens of one response.
func (m *Meter) RecordInterTokenLatency(service ident.ServiceName, duration time.Duration) {
	m.interTokenLatency.Record(context.Background(), duration.Seconds(), m.serviceOption(service))
}

// RecordResponseTime records the time from a request's arrival to the end of its
// response.
func (m *Meter) RecordResponseTime(service ident.ServiceName, duration time.Duration) {
	m.responseTime.Record(context.Background(), duration.Seconds(), m.serviceOption(service))
}

// CountPrefillTokens counts prompt tokens sent to a prefill endpoint.
func (m *Meter) CountPrefillTokens(service ident.ServiceName, tokens ident.TokenCount) {
	m.prefillTokens.Add(context.Background(), int64(tokens), m.serviceOption(service))
}

// CountWastedPrefillTokens counts prefilled tokens whose result was not used.
func (m *Meter) CountWastedPrefillTokens(service ident.ServiceName, tokens ident.TokenCount) {
	m.wastedPrefillTokens.Add(context.Background(), int64(tokens), m.serviceOption(service))
}

// CountQuotaUse counts what a workspace used of its quota, in the quota's units. The workspaces are
// few.
func (m *Meter) CountQuotaUse(workspace ident.WorkspaceName, units float64) {
	m.quotaUse.Add(context.Background(), int64(units), metric.WithAttributes(attribute.String("workspace", string(workspace))))
}

// RecordCostError records an actual cost as a multiple of the predicted one. The kind is one of few
// constants.
func (m *Meter) RecordCostError(service ident.ServiceName, kind string, ratio float64) {
	m.costError.Record(context.Background(), ratio, m.serviceOption(service), metric.WithAttributes(attribute.String("kind", kind)))
}

// RecordEngineSpeed records what a keeper has learned of its engine.
func (m *Meter) RecordEngineSpeed(kind string, value float64) {
	m.engineSpeed.Record(context.Background(), value, metric.WithAttributes(attribute.String("kind", kind)))
}

// RecordKnowledgeAge records how long ago a change may have been made that this process does not know.
func (m *Meter) RecordKnowledgeAge(kind string, age time.Duration) {
	m.knowledgeAge.Record(context.Background(), age.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// CountControlMessage counts one control message and its size by kind.
func (m *Meter) CountControlMessage(kind string, size ident.ByteCount) {
	option := metric.WithAttributes(attribute.String("kind", kind))
	m.controlMessages.Add(context.Background(), 1, option)
	m.controlBytes.Add(context.Background(), int64(size), option)
}

// CountSkippedRecord counts a stored record that cannot be used, by its kind in the store.
func (m *Meter) CountSkippedRecord(kind string) {
	m.skippedRecords.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// CountCrossedRequest counts a request that came after its connection was closed.
func (m *Meter) CountCrossedRequest() { m.crossedRequests.Add(context.Background(), 1) }

// CountDroppedClient counts a connection or a request that was dropped for others, by what was used up.
func (m *Meter) CountDroppedClient(resource string) {
	m.droppedClients.Add(context.Background(), 1, metric.WithAttributes(attribute.String("resource", resource)))
}

// CountCrossRegionBytes counts bytes sent to another region.
func (m *Meter) CountCrossRegionBytes(service ident.ServiceName, size ident.ByteCount) {
	m.crossRegionBytes.Add(context.Background(), int64(size), m.serviceOption(service))
}

func (m *Meter) serviceOption(service ident.ServiceName) metric.MeasurementOption {
	if option, ok := m.serviceOptions.Load(service); ok {
		return option.(metric.MeasurementOption)
	}
	option := metric.WithAttributeSet(attribute.NewSet(attribute.String("service", string(service))))
	m.serviceOptions.Store(service, option)
	return option
}

// builder creates instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) counter(name, description string) metric.Int64Counter {
	counter, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.recordError(err)
	return counter
}

// observe creates a counter whose values are read when the metrics are exported.
func (b *builder) observe(name, description string, read metric.Int64Callback) {
	_, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(description), metric.WithInt64Callback(read))
	b.recordError(err)
}

func (b *builder) histogram(name, description string, bounds []float64) metric.Float64Histogram {
	histogram, err := b.meter.Float64Histogram(name,
		metric.WithDescription(description), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
	b.recordError(err)
	return histogram
}

func (b *builder) ratios(name, description string, bounds []float64) metric.Float64Histogram {
	histogram, err := b.meter.Float64Histogram(name,
		metric.WithDescription(description), metric.WithUnit("1"), metric.WithExplicitBucketBoundaries(bounds...))
	b.recordError(err)
	return histogram
}

func (b *builder) gauge(name, description string) metric.Float64Gauge {
	gauge, err := b.meter.Float64Gauge(name, metric.WithDescription(description))
	b.recordError(err)
	return gauge
}

func (b *builder) recordError(err error) {
	if b.err == nil {
		b.err = err
	}
}
