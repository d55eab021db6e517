package relay

import (
	"crocusstep/fault"
	"crocusstep/table"
)

// maxLoggedKeys limits the revoked keys that one log line names.
const maxLoggedKeys = 8

// match returns the route of a request, with the priority of the caller's workspace, and that
// workspace, which is nil if its key is of none. It refuses a caller that needs a key.
func match(t *table.Table, request *Request) (route table.Route, workspace *table.Workspace, refusal *fault.Refusal) {
	if t.KeysRequired() {
		workspace = t.Caller(request.Key)
	}
	route, found := t.MatchCaller(request.Host, request.Path, workspace)
	if !found {
		return route, nil, fault.New(fault.UnknownRoute, "no route matches in version %d", t.Version)
	}
	return route, workspace, refuseWithoutKey(t, request, workspace, route.Open)
}

// doubt replaces a refusal for want of a route or a key by one that promises nothing, if a newer table that has it
// may have been acknowledged for longer than relays may take to know it.
func (r *Relay) doubt(refusal *fault.Refusal) *fault.Refusal {
	if refusal == nil || r.config.MaxTableAge == 0 || refusal.Code != fault.UnknownRoute && refusal.Code != fault.UnknownCaller {
		return refusal
	}
	age := r.TableAge()
	if age <= r.config.MaxTableAge {
		return refusal
	}
	return fault.New(fault.DocumentUnconfirmed, "%s, and a newer one may be unknown for %s", refusal.Detail, age).WithRetryAfter(r.retryAfterJitter(minRetryAfter))
}

// refuseWithoutKey refuses a caller without a workspace, unless the route is open.
func refuseWithoutKey(t *table.Table, request *Request, workspace *table.Workspace, isOpen bool) *fault.Refusal {
	switch {
	case !t.KeysRequired() || isOpen || workspace != nil:
		return nil
	case request.Key.IsZero():
		return fault.New(fault.UnknownCaller, "the request has no key, or several, and version %d requires one", t.Version)
	}
	return fault.New(fault.UnknownCaller, "no workspace has key %s in version %d", request.Key.Fingerprint(), t.Version)
}

// setWorkspace records whose request it is; the workspace may be nil.
func (r *Request) setWorkspace(t *table.Table, workspace *table.Workspace) {
	r.ForwardsIdentity = !t.KeysRequired()
	r.Workspace = ""
	if workspace != nil {
		r.Workspace = workspace.Name
	}
}

// RefuseUnknownCaller refuses a request whose caller needs a key and has none, so that its body
// need not be read. It returns nil if that is not known yet.
func (r *Relay) RefuseUnknownCaller(request *Request) *fault.Refusal {
	t := r.table.Load()
	if t == nil || !t.KeysRequired() {
		return nil
	}
	if _, _, refusal := match(t, request); refusal != nil && refusal.Code == fault.UnknownCaller {
		return r.doubt(refusal)
	}
	return nil
}

// revoked refuses a request whose key was taken away since the request was routed. It is asked
// before each send to an endpoint, so that requests which wait for memory, a prefill slot or a
// permit are refused, too. A response that has begun is completed.
func (e *exchange) revoked() *fault.Refusal {
	t := e.table.Load()
	if e.started || t.Version == e.keysVersion {
		return nil
	}
	var workspace *table.Workspace
	if t.KeysRequired() {
		workspace = t.Caller(e.request.Key)
	}
	isOpen := e.route.Open
	if route, found := t.Match(e.request.Host, e.request.Path); found {
		isOpen = route.Open
	}
	if refusal := refuseWithoutKey(t, e.request, workspace, isOpen); refusal != nil {
		return e.doubt(refusal)
	}
	e.keysVersion = t.Version
	e.request.setWorkspace(t, workspace)
	return nil
}

// barred refuses a request that may not be sent any more: its key was revoked, or it crashes
// endpoints.
func (e *exchange) barred() *fault.Refusal {
	if refusal := e.revoked(); refusal != nil {
		return refusal
	}
	return e.suspended()
}

// logKeys logs the keys of a new table. Earlier is nil at the first one.
func (r *Relay) logKeys(earlier, next *table.Table) {
	if !next.KeysRequired() && (earlier == nil || !earlier.KeysRequired()) {
		return
	}
	count := 0
	var fingerprints []string
	if earlier != nil {
		var keys []table.KeyDigest
		keys, count = next.Revoked(earlier, maxLoggedKeys)
		for _, key := range keys {
			fingerprints = append(fingerprints, key.Fingerprint())
		}
	}
	r.Log.Info("keys in force", "table", next.Version, "required", next.KeysRequired(),
		"workspaces", len(next.Document.Workspaces), "keys", next.KeyCount(), "revoked", count, "revoked-keys", fingerprints)
}
