package table

import "crocusstep/ident"

// Ordered reports whether requests to a service differ by priority or workspace.
func (t *Table) Ordered(service ident.ServiceName) bool { return t.ordered[service] }

// Weight returns the part of a workspace in what workspaces share, relative to the other ones:
// that of its quota, or 1 if some workspace has no quota in the same unit.
func (t *Table) Weight(w *Workspace) float64 {
	if !t.weighted || w.Quota == nil {
		return 1
	}
	return w.Quota.PerSecond
}

// indexOrder fills ordered and weighted.
func (t *Table) indexOrder() {
	workspaces := t.Document.Workspaces
	t.ordered = map[ident.ServiceName]bool{}
	lowest := map[ident.ServiceName]int{}
	for _, r := range t.Document.Routes {
		for _, s := range r.WeightedServices {
			priority, known := lowest[s.Service]
			if len(workspaces) > 0 || known && priority != r.Priority {
				t.ordered[s.Service] = true
			}
			lowest[s.Service] = r.Priority
		}
	}
	t.weighted = len(workspaces) > 0
	for _, w := range workspaces {
		if w.Quota == nil || w.Quota.PerSecond <= 0 || w.Quota.CountsTokens != workspaces[0].Quota.CountsTokens {
			t.weighted = false
			return
		}
	}
}
