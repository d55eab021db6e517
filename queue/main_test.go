package queue

import (
	"testing"

	"crocusstep/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
