package pool

import (
	"fmt"
	"testing"

	"crocusstep/ident"
)

// BenchmarkHistory is the part of an exchange with a hub of 3,000 endpoints.
func BenchmarkHistory(b *testing.B) {
	p := NewPool()
	var list []Endpoint
	for i := range 3000 {
		list = append(list, Endpoint{Name: ident.EndpointName(fmt.Sprint(i)), Service: "llm", Version: "v1"})
	}
	p.ApplySnapshot(list, 1, false)
	for b.Loop() {
		p.History()
	}
}
