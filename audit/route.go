package audit

import (
	"slices"
	"strings"

	"crocusstep/table"
)

// checkRoute checks the route at an index.
func (f *findings) checkRoute(d *table.Document, index int) {
	r := &d.Routes[index]
	entry := "route " + r.Name
	if slices.ContainsFunc(d.Routes[:index], func(other table.Route) bool { return other.Name == r.Name }) {
		f.add(Error, entry, "the name is used twice")
	}
	f.checkMatch(d, index, entry)
	f.checkTargets(r, entry)
	f.checkKind(d, r, entry)
	f.checkWeights(d, r, entry)
}

// checkMatch finds routes that no request can match.
func (f *findings) checkMatch(d *table.Document, index int, entry string) {
	r := &d.Routes[index]
	switch {
	case r.Host == "":
		f.add(Error, entry, "it can never match, as it has no host")
	case strings.ContainsAny(r.Host, ":/"):
		f.add(Error, entry, "it can never match, as hosts are compared without port and path")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		f.add(Error, entry, "its prefix %q must begin and end with a slash", r.Prefix)
	}
	if strings.ContainsAny(r.Prefix, "?#") {
		f.add(Error, entry, "it can never match, as paths are compared without query and fragment")
	}
	for _, other := range d.Routes[:index] {
		if other.Host == r.Host && other.Prefix == r.Prefix {
			f.add(Error, entry, "it can never match, as route %s has the same host and prefix", other.Name)
		}
	}
}

func (f *findings) checkTargets(r *table.Route, entry string) {
	if r.Timeout <= 0 {
		f.add(Error, entry, "its timeout is not positive, so that each request is refused")
	}
	if r.TargetLatency > r.Timeout {
		f.add(Error, entry, "its latency target of %s is longer than its timeout of %s", r.TargetLatency, r.Timeout)
	}
	if r.TargetEventGap > r.Timeout {
		f.add(Warning, entry, "its longest gap between events of %s is longer than its timeout of %s", r.TargetEventGap, r.Timeout)
	}
	if r.MaxEndpoints < 1 {
		f.add(Error, entry, "no endpoint may run its requests")
	}
}

// checkKind finds settings that have no effect on routes of the kind.
func (f *findings) checkKind(d *table.Document, r *table.Route, entry string) {
	if !r.Retryable() && r.MaxEndpoints > 1 {
		f.add(Warning, entry, "%d endpoints may run a request, but its requests may run once only", r.MaxEndpoints)
	}
	if r.Kind != table.Streaming && (r.Resumable || r.TargetEventGap > 0) {
		f.add(Warning, entry, "it is not streaming, so resuming and gaps between events have no effect")
	}
	if r.Resumable && r.MaxEndpoints < 2 && r.Kind == table.Streaming {
		f.add(Warning, entry, "its streams may be resumed, but only one endpoint may run a request")
	}
	if !r.HasPrompt {
		return
	}
	for _, s := range r.WeightedServices {
		for _, service := range d.Services {
			if service.Name == s.Service && service.Engine == nil {
				f.add(Warning, entry, "its requests carry prompts, but service %s has no engines", s.Service)
			}
		}
	}
}

func (f *findings) checkWeights(d *table.Document, r *table.Route, entry string) {
	total := 0.0
	for _, s := range r.WeightedServices {
		known := slices.ContainsFunc(d.Services, func(other table.Service) bool { return other.Name == s.Service })
		switch {
		case !known:
			f.add(Error, entry, "service %q does not exist", s.Service)
		case s.Weight < 0:
			f.add(Error, entry, "the weight of service %s is negative", s.Service)
		case s.Weight == 0:
			f.add(Warning, entry, "service %s has no weight and gets no request", s.Service)
		}
		total += max(0, s.Weight)
	}
	if total <= 0 {
		f.add(Error, entry, "its weights sum to zero")
	}
}
