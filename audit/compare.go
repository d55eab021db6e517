package audit

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"crocusstep/table"
)

// Compare returns how a table differs from the one in force.
func Compare(inForce, next *table.Document) []Finding {
	var found findings
	if next.Version <= inForce.Version {
		found.add(Error, "version", "%d is not newer than version %d in force, so it would be ignored", next.Version, inForce.Version)
	}
	compareEntries(&found, "route", inForce.Routes, next.Routes, func(r table.Route) string { return r.Name })
	compareEntries(&found, "service", inForce.Services, next.Services, func(s table.Service) string { return string(s.Name) })
	compareEntries(&found, "workspace", inForce.Workspaces, next.Workspaces, func(w table.Workspace) string { return string(w.Name) })
	if inForce.KeysRequired != next.KeysRequired {
		found.add(Change, "workspaces", "keys are required: %t, was %t", next.KeysRequired, inForce.KeysRequired)
	}
	if changes := fieldChanges(inForce.Limits, next.Limits); changes != "" {
		found.add(Change, "limits", "%s", changes)
	}
	return found
}

// compareEntries compares two lists whose entries have names.
func compareEntries[Entry any](f *findings, kind string, inForce, next []Entry, name func(Entry) string) {
	for _, e := range next {
		i := slices.IndexFunc(inForce, func(old Entry) bool { return name(old) == name(e) })
		if i < 0 {
			f.add(Change, kind+" "+name(e), "added")
			continue
		}
		if changes := fieldChanges(inForce[i], e); changes != "" {
			f.add(Change, kind+" "+name(e), "%s", changes)
		}
	}
	for _, old := range inForce {
		if !slices.ContainsFunc(next, func(e Entry) bool { return name(e) == name(old) }) {
			f.add(Change, kind+" "+name(old), "removed")
		}
	}
}

// fieldChanges describes the fields of a struct that differ.
func fieldChanges[Entry any](inForce, next Entry) string {
	var changes []string
	a, b := reflect.ValueOf(inForce), reflect.ValueOf(next)
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		name := a.Type().Field(i).Name
		if oldKeys, isKeys := x.([]table.KeyDigest); isKeys {
			changes = append(changes, keyChanges(oldKeys, y.([]table.KeyDigest)))
			continue
		}
		changes = append(changes, fmt.Sprintf("%s %s, was %s", name, text(b.Field(i)), text(a.Field(i))))
	}
	return strings.Join(changes, "; ")
}

// keyChanges names the keys that were added and removed by their digests.
func keyChanges(inForce, next []table.KeyDigest) string {
	var changes []string
	for _, key := range next {
		if !slices.Contains(inForce, key) {
			changes = append(changes, "key "+label(key)+" added")
		}
	}
	for _, key := range inForce {
		if !slices.Contains(next, key) {
			changes = append(changes, "key "+label(key)+" taken away")
		}
	}
	if len(changes) == 0 {
		return "the order of its keys changed"
	}
	return strings.Join(changes, ", ")
}

// text formats a value, following a pointer.
func text(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v.Interface())
}
