package route

import (
	"slices"

	"crocusstep/ident"
	"crocusstep/roster"
	"crocusstep/spec"
)

// Regions returns the regions in which a service may run a request, in the
// order in which they should be tried: the entry's own first, then the
// service's home, then others if the document allows. Only regions with
// members are returned. KV caches never leave a region, so both endpoints of a
// pair are chosen in one.
func Regions(own ident.RegionName, document *spec.Document, members []roster.Member) []ident.RegionName {
	present := map[ident.RegionName]bool{}
	var all []ident.RegionName
	for _, m := range members {
		if !present[m.Instance.Region] {
			present[m.Instance.Region] = true
			all = append(all, m.Instance.Region)
		}
	}
	slices.Sort(all)
	candidates := []ident.RegionName{own, document.Regions.Home}
	if document.Regions.MayCross || document.Regions.Home == "" {
		candidates = append(candidates, all...)
	}
	var order []ident.RegionName
	for _, region := range candidates {
		if present[region] && !slices.Contains(order, region) {
			order = append(order, region)
		}
	}
	return order
}

// InRegion returns the members of one region.
func InRegion(members []roster.Member, region ident.RegionName) []roster.Member {
	var inside []roster.Member
	for _, m := range members {
		if m.Instance.Region == region {
			inside = append(inside, m)
		}
	}
	return inside
}
