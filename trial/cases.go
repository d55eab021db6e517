package trial

import (
	"crocusstep/fake"
	"crocusstep/fleet"
)

// herdLoadSeconds is the size of the herd, in seconds of load at full capacity.
const herdLoadSeconds = 12

// Cases returns the cases that a deployment is measured in.
func Cases(d Deployment) []Case {
	herd := int(herdLoadSeconds * d.Capacity())
	return []Case{
		{Name: "half load", Load: 0.5, PrefillEngines: prefillEngineCount},
		{Name: "0.9 of capacity", Load: 0.9, PrefillEngines: prefillEngineCount},
		{Name: "capacity", Load: 1, PrefillEngines: prefillEngineCount},
		{Name: "1.5 of capacity", Load: 1.5, PrefillEngines: prefillEngineCount},
		{Name: "3 times capacity", Load: 3, PrefillEngines: prefillEngineCount},
		{Name: "herd in one second", HerdSize: herd, PrefillEngines: prefillEngineCount},
		{
			Name: "0.6 load, a prefill engine down", Load: 0.6, PrefillEngines: prefillEngineCount - 1,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.KillEngine("prefill-0") },
		},
		{
			Name: "0.8 load, a decode engine down", Load: 0.8, PrefillEngines: prefillEngineCount,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.KillEngine("decode-0") },
		},
		{
			Name: "0.6 load, a prefill engine 4 times slower", Load: 0.6, PrefillEngines: prefillEngineCount - 0.75,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.Endpoint("prefill-0").Engine().SlowDown(4) },
		},
		{
			Name: "0.8 load, transfers to a decode engine stall", Load: 0.8, PrefillEngines: prefillEngineCount,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.Endpoint("decode-0").Engine().StallTransfers(true) },
		},
		{
			Name: "0.8 load, the platform down", Load: 0.8, PrefillEngines: prefillEngineCount,
			Fault: func(f *fleet.Fleet, _ Deployment) { f.Platform.SetFaults(fake.PlatformFaults{Down: true}) },
		},
	}
}
