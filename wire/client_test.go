package wire

import "testing"

func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte(`{"request":"r","attempt":"a","kind":"piece","position":1,"text":"x"}`))
	f.Add([]byte(`{"position":-1}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		frame, err := DecodeFrame(line)
		if err == nil && frame.Position < 0 {
			t.Fatalf("accepted a frame at position %d", frame.Position)
		}
	})
}
