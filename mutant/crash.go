package main

// crashMutants holds one mutant for each mechanism that tells relays of crashes.
var crashMutants = []mutant{
	{
		guarantee: "relays that know equally many crashes tell each other",
		file:      "crash/tracker.go",
		original:  "Sum: t.sum}",
		mutated:   "Sum: 0}",
		pkg:       "relay", test: "TestDifferentCrashesOfEqualNumber",
	},
	{
		guarantee: "an expired crash is not learned again",
		file:      "crash/tracker.go",
		original:  "stored.expired(now.Add(minRemaining))",
		mutated:   "stored.expired(now)",
		pkg:       "crash", test: "TestExpiredCrashStaysExpired",
	},
}
