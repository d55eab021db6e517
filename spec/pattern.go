package spec

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Pattern matches a method and a path, where {name} matches one non-empty segment.
type Pattern struct {
	method   string
	segments []string
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// ParsePattern parses a pattern such as "GET /status/{permit}".
func ParsePattern(text string) (Pattern, error) {
	method, path, found := strings.Cut(text, " ")
	if !found || !slices.Contains(methods, method) {
		return Pattern{}, fmt.Errorf("expected a method and a path such as GET /status/{permit}, not %q", text)
	}
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " ?#") {
		return Pattern{}, fmt.Errorf("expected a path that starts with a slash, not %q", path)
	}
	return Pattern{method: method, segments: strings.Split(path, "/")}, nil
}

// Matches reports whether the pattern matches a request's method and path.
func (p Pattern) Matches(method, path string) bool {
	segments := strings.Split(path, "/")
	if method != p.method || len(segments) != len(p.segments) {
		return false
	}
	for i, segment := range p.segments {
		variable := strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}")
		if !variable && segment != segments[i] {
			return false
		}
		if variable && segments[i] == "" {
			return false
		}
	}
	return true
}

// FindCall returns the document's first call whose pattern matches.
func (d *Document) FindCall(method, path string) (Call, bool) {
	for _, call := range d.Calls {
		pattern, err := ParsePattern(call.Match)
		if err == nil && pattern.Matches(method, path) {
			return call, true
		}
	}
	return Call{}, false
}

func indexedKey(key string, index int) string { return fmt.Sprintf("%s[%d]", key, index) }
