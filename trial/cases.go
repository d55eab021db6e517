package trial

import (
	"crocusstep/fake"
	"crocusstep/fleet"
)

// herdSeconds is how many seconds of full capacity the herd brings at once.
const herdSeconds = 12

// CasesOf returns the situations that a deployment is measured in.
func CasesOf(d Deployment) []Case {
	herd := int(herdSeconds * d.Capacity())
	return []Case{
		{Name: "half load", Load: 0.5, Lanes: prefillWorkers},
		{Name: "0.9 of capacity", Load: 0.9, Lanes: prefillWorkers},
		{Name: "capacity", Load: 1, Lanes: prefillWorkers},
		{Name: "1.5 of capacity", Load: 1.5, Lanes: prefillWorkers},
		{Name: "3 times capacity", Load: 3, Lanes: prefillWorkers},
		{Name: "herd in one second", Herd: herd, Lanes: prefillWorkers},
		{
			Name: "0.6 load, a prefill engine dead", Load: 0.6, Lanes: prefillWorkers - 1,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.KillEngine("prefill-0") },
		},
		{
			Name: "0.8 load, a decode engine dead", Load: 0.8, Lanes: prefillWorkers,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.KillEngine("decode-0") },
		},
		{
			Name: "0.6 load, a prefill engine 4 times slower", Load: 0.6, Lanes: prefillWorkers - 0.75,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.Endpoint("prefill-0").Engine().SlowDown(4) },
		},
		{
			Name: "0.8 load, transfers to a decode engine stall", Load: 0.8, Lanes: prefillWorkers,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.Endpoint("decode-0").Engine().StallTransfers(true) },
		},
		{
			Name: "0.8 load, the platform down", Load: 0.8, Lanes: prefillWorkers,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.Platform.SetFaults(fake.PlatformFaults{Down: true}) },
		},
	}
}
