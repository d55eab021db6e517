package relay

import (
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/quota"
)

// errNoGranter means that no keeper is known, or that it did not respond lately.
var errNoGranter = errors.New("the keeper did not respond lately")

// quotas is this relay's part of the quotas of workspaces, and what it knows of their granters.
type quotas struct {
	bounds atomic.Pointer[quota.Bounds]
	// began is when the process started.
	began time.Time

	mutex    sync.Mutex
	accounts map[ident.WorkspaceName]*quota.Account
	views    map[ident.WorkspaceName]*granterView
	// keepers holds the sorted addresses of the engines whose keepers may grant quotas, as of a
	// revision of the endpoints; previous those before the last change, at changedAt.
	keepers, previous []ident.Address
	revision          pool.Revision
	changedAt         time.Time
	// unresponsiveUntil holds the time until which a keeper is not asked.
	unresponsiveUntil map[ident.Address]time.Time
	// unused holds what is to be returned to each granter.
	unused map[ident.Address][]unusedQuota
	// metered holds the workspaces that metrics name, maxMeteredWorkspaces at most.
	metered map[ident.WorkspaceName]bool
}

// granterView is what a relay knows of the granter of a workspace.
type granterView struct {
	// granter and deputy are the first two keepers by rendezvous hashing. They change with the
	// records of endpoints only: a granter that does not respond to this relay may respond to
	// others.
	granter, deputy ident.Address
	// since and deputySince are when the relay learned of them. Changed and deputyChanged are set
	// if they replaced other ones.
	since, deputySince     time.Time
	changed, deputyChanged bool
	// lessor granted the units that the account holds in advance.
	lessor ident.Address
}

// unusedQuota is the charge of a request that no endpoint ran.
type unusedQuota struct {
	workspace ident.WorkspaceName
	charge    quota.Charge
}

func newQuotas(bounds quota.Bounds) *quotas {
	q := &quotas{
		began:    time.Now(),
		accounts: map[ident.WorkspaceName]*quota.Account{}, views: map[ident.WorkspaceName]*granterView{},
		unresponsiveUntil: map[ident.Address]time.Time{}, unused: map[ident.Address][]unusedQuota{},
		metered: map[ident.WorkspaceName]bool{},
	}
	q.bounds.Store(&bounds)
	return q
}

func (q *quotas) account(workspace ident.WorkspaceName) *quota.Account {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	a, found := q.accounts[workspace]
	if !found {
		a = quota.NewAccount()
		q.accounts[workspace] = a
	}
	return a
}

// refresh applies a change of the endpoints to the views.
func (q *quotas) refresh(p *pool.Pool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.refreshLocked(p)
}

func (q *quotas) refreshLocked(p *pool.Pool) {
	if q.keepers != nil && p.Revision() == q.revision {
		return
	}
	endpoints, revision := p.Snapshot()
	q.revision = revision
	keepers := []ident.Address{}
	for _, e := range endpoints {
		if e.Stage != pool.Combined {
			keepers = append(keepers, e.Address)
		}
	}
	slices.Sort(keepers)
	keepers = slices.Compact(keepers)
	if q.keepers != nil && slices.Equal(keepers, q.keepers) {
		return
	}
	q.previous, q.keepers, q.changedAt = q.keepers, keepers, time.Now()
	for workspace, v := range q.views {
		granter, deputy := rendezvous(keepers, workspace)
		if granter != v.granter {
			v.granter, v.since, v.changed = granter, q.changedAt, true
		}
		if deputy != v.deputy {
			v.deputy, v.deputySince, v.deputyChanged = deputy, q.changedAt, true
		}
	}
}

// view returns the granters of a workspace.
func (q *quotas) view(workspace ident.WorkspaceName, p *pool.Pool) granterView {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.refreshLocked(p)
	return *q.viewLocked(workspace)
}

func (q *quotas) viewLocked(workspace ident.WorkspaceName) *granterView {
	v, found := q.views[workspace]
	if !found {
		v = &granterView{since: q.changedAt, deputySince: q.changedAt}
		v.granter, v.deputy = rendezvous(q.keepers, workspace)
		before, deputyBefore := rendezvous(q.previous, workspace)
		v.changed = before != "" && before != v.granter
		v.deputyChanged = deputyBefore != "" && deputyBefore != v.deputy
		q.views[workspace] = v
	}
	return v
}

// lessor returns the keeper that granted a charge to the account's lease, empty if it is of the
// share only.
func (q *quotas) lessor(workspace ident.WorkspaceName, charge quota.Charge) ident.Address {
	if charge.Granted == 0 {
		return ""
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.viewLocked(workspace).lessor
}

func (q *quotas) setLessor(workspace ident.WorkspaceName, granter ident.Address) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.viewLocked(workspace).lessor = granter
}

// rendezvous returns the two keepers with the highest weights for a workspace.
func rendezvous(keepers []ident.Address, workspace ident.WorkspaceName) (first, second ident.Address) {
	var highest, next uint64
	for _, k := range keepers {
		sum := fnv.New64a()
		_, _ = sum.Write([]byte("quota " + string(k) + " " + string(workspace)))
		switch weight := sum.Sum64(); {
		case first == "" || weight > highest:
			first, second, highest, next = k, first, weight, highest
		case second == "" || weight > next:
			second, next = k, weight
		}
	}
	return first, second
}

func (q *quotas) unresponsive(granter ident.Address, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return now.Before(q.unresponsiveUntil[granter])
}

func (q *quotas) markUnresponsive(granter ident.Address, until time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.unresponsiveUntil[granter] = until
}

func (q *quotas) addUnused(granter ident.Address, u unusedQuota) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.unused[granter] = append(q.unused[granter], u)
}

func (q *quotas) takeUnused() map[ident.Address][]unusedQuota {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	unused := q.unused
	q.unused = map[ident.Address][]unusedQuota{}
	return unused
}

// SetQuotas changes what is tolerated beyond quotas.
func (r *Relay) SetQuotas(bounds quota.Bounds) { r.quotas.bounds.Store(&bounds) }
