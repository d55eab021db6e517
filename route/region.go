package route

import (
	"slices"

	"crocusstep/ident"
	"crocusstep/spec"
)

// RankRegions returns the regions in which a service may run a request, in the
// order in which they should be tried: the entry's own first, then the
// service's home, then others if the document allows. present is the regions
// that have members. KV caches never leave a region, so both endpoints of a
// pair are chosen in one.
func RankRegions(own ident.RegionName, document *spec.Document, present []ident.RegionName) []ident.RegionName {
	candidates := []ident.RegionName{own, document.Regions.Home}
	if document.Regions.MayCross || document.Regions.Home == "" {
		candidates = append(candidates, present...)
	}
	var order []ident.RegionName
	for _, region := range candidates {
		if slices.Contains(present, region) && !slices.Contains(order, region) {
			order = append(order, region)
		}
	}
	return order
}
