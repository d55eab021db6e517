package main

// stopMutants holds one mutant for each mechanism of the planned stop of an entry or agent.
var stopMutants = []mutant{
	{
		guarantee: "a stopping entry refuses what it can't complete",
		file:      "entry/drain.go",
		original:  "endsAt == nil || time.Until(*endsAt) >= needed",
		mutated:   "true",
		pkg:       "fleet", test: "TestStoppedEntryRefusesLateRequests",
	},
	{
		guarantee: "a stopping entry goes by how long requests of the service take",
		file:      "entry/drain.go",
		original:  "if median == 0 {",
		mutated:   "if median >= 0 {",
		pkg:       "fleet", test: "TestStoppedEntryServesWhatItCanComplete",
	},
}
