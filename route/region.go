package route

import (
	"slices"

	"crocusstep/ident"
	"crocusstep/spec"
)

// RankRegions returns the regions in which a service may run a request, best
// first: the entry's own, then the service's home, then others if the document
// allows it. available lists the regions that have members. KV caches never
// leave a region, so a request's prefill and decode endpoints are chosen in the
// same one.
func RankRegions(local ident.RegionName, document *spec.Document, available []ident.RegionName) []ident.RegionName {
	candidates := []ident.RegionName{local, document.Regions.Home}
	if document.Regions.MayCross || document.Regions.Home == "" {
		candidates = append(candidates, available...)
	}
	var ranked []ident.RegionName
	for _, region := range candidates {
		if slices.Contains(available, region) && !slices.Contains(ranked, region) {
			ranked = append(ranked, region)
		}
	}
	return ranked
}
