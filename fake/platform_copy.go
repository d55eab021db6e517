package fake

import (
	"maps"
	"slices"

	"crocusstep/store"
)

// PlatformCopy is the content of a Platform at some revision.
type PlatformCopy struct {
	version store.Version
	objects map[store.Kind]map[string]store.Object
}

// Copy returns the present objects. The platform's list of instances is not part of a copy.
func (p *Platform) Copy() PlatformCopy {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return PlatformCopy{version: p.version, objects: cloneObjects(p.objects)}
}

// Restore replaces the objects by an earlier copy and begins the next era: later writes are
// lost, and their revisions are assigned again. Waiting watches are cut off.
func (p *Platform) Restore(c PlatformCopy) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.era++
	p.version, p.objects = c.version, cloneObjects(c.objects)
	p.events = slices.DeleteFunc(p.events, func(e event) bool { return e.object.Version > c.version })
	close(p.changed)
	p.changed = make(chan struct{})
}

func cloneObjects(objects map[store.Kind]map[string]store.Object) map[store.Kind]map[string]store.Object {
	clone := map[store.Kind]map[string]store.Object{}
	for kind, byName := range objects {
		clone[kind] = maps.Clone(byName)
	}
	return clone
}
