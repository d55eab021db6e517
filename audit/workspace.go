package audit

import (
	"fmt"

	"crocusstep/ident"
	"crocusstep/table"
)

// maxPriority is the lowest rank of a request.
const maxPriority = 9

func (f *findings) checkWorkspaces(d *table.Document, capacity Capacity) {
	if d.KeysRequired && len(d.Workspaces) == 0 {
		f.add(Error, "workspaces", "keys are required, but no workspace has one")
	}
	seen := map[ident.WorkspaceName]bool{}
	owners := map[table.KeyDigest]ident.WorkspaceName{}
	total := 0.0
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		entry := "workspace " + string(w.Name)
		switch {
		case w.Name == "":
			f.add(Error, entry, "it has no name")
		case seen[w.Name]:
			f.add(Error, entry, "the name is used twice")
		}
		seen[w.Name] = true
		if len(w.Keys) == 0 {
			f.add(Warning, entry, "it has no key, so that its callers are refused")
		}
		for _, key := range w.Keys {
			if owner, found := owners[key]; found {
				f.add(Error, entry, "its key %s is already a key of workspace %s", label(key), owner)
			}
			owners[key] = w.Name
		}
		if w.Priority != nil && (*w.Priority < 0 || *w.Priority > maxPriority) {
			f.add(Error, entry, "its priority %d is not between 0 and %d", *w.Priority, maxPriority)
		}
		if w.Quota == nil {
			continue
		}
		f.checkQuota(w.Quota, capacity, entry)
		if w.Quota.CountsTokens {
			total += w.Quota.PerSecond
		}
	}
	if c := capacity.TokensPerSecond; c > 0 && total > c {
		f.add(Warning, "workspaces", "their quotas sum to %.0f tokens a second, the endpoints serve %.0f", total, c)
	}
}

func (f *findings) checkQuota(q *table.Quota, capacity Capacity, entry string) {
	if q.PerSecond <= 0 || q.Burst < 0 || q.PlainTokens < 0 {
		f.add(Error, entry, "its quota has a rate that is not positive, or a negative burst or charge")
	}
	if q.CountsTokens && q.PlainTokens == 0 {
		f.add(Warning, entry, "requests without token counts are not charged")
	}
	if c := capacity.TokensPerSecond; c > 0 && q.CountsTokens && q.PerSecond > c {
		f.add(Warning, entry, "its quota of %.0f tokens a second exceeds the %.0f that the endpoints serve", q.PerSecond, c)
	}
	if q.CountsTokens && q.Burst+q.PerSecond < float64(q.PlainTokens) {
		f.add(Error, entry, "its quota of %.0f tokens a second and a burst of %.0f never fit a charge of %d", q.PerSecond, q.Burst, q.PlainTokens)
	}
}

// label names a key without showing it.
func label(key table.KeyDigest) string { return fmt.Sprintf("with digest %x", key[:4]) }
