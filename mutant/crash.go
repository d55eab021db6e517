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
	{
		guarantee: "the crashes of a blocked request do not expire at all relays at once",
		file:      "crash/tracker.go",
		original:  "\tcase c.Blocked:\n",
		mutated:   "\tcase c.Blocked && ttl < 0:\n",
		pkg:       "crash", test: "TestTracker|TestBlock",
	},
	{
		guarantee: "relays try a blocked request one after the other",
		file:      "crash/request.go",
		original:  "requestDelayFactor*delay)",
		mutated:   "0*delay)",
		pkg:       "crash", test: "TestBlockedRequestIsTriedAlone",
	},
	{
		guarantee: "a request that completed is unblocked at all relays",
		file:      "crash/part.go",
		original:  "\t\tt.recordSuccess(s.Request, now.Add(-s.Age))\n",
		mutated:   "",
		pkg:       "crash", test: "TestSoundRequestIsUnblocked",
	},
	{
		guarantee: "a process that restarted learns of blocked requests",
		file:      "crash/tracker.go",
		original:  "\tr.markBlocked()\n",
		mutated:   "",
		pkg:       "crash", test: "TestTracker|TestBlock",
	},
	{
		guarantee: "a peer gets the crashes that it has not heard of, not all",
		file:      "gossip/message.go",
		original:  "known.CrashesSince(heardAt.Add(-heardMargin), now)",
		mutated:   "known.CrashesSince(heardAt.Add(-time.Hour), now)",
		pkg:       "gossip", test: "TestMissingCrashes",
	},
}
