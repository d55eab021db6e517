package main

// originMutants holds one mutant for each mechanism that keeps streams at the software version that
// began them when relays restart.
var originMutants = []mutant{
	{
		guarantee: "the present endpoints alone do not show a single software version",
		file:      "relay/origin.go",
		original:  "\tversion, _ = s.config.Pool.SingleVersion(s.service.Name, maxTakeUpDelay)\n",
		mutated:   "\tversion, _ = s.config.Pool.SingleVersion(s.service.Name, -time.Hour)\n",
		pkg:       "platform", test: "TestStreamsAfterRelaysKilled",
	},
	{
		guarantee: "a history that ends before a process's own first state leaves a gap",
		file:      "pool/history.go",
		original:  "\tif h.To >= p.covered.from {\n",
		mutated:   "\tif h.To > 0 {\n",
		pkg:       "pool", test: "TestSoftwareVersions",
	},
	{
		guarantee: "versions that ran before a gap count, those of keepers' engines that left too",
		file:      "pool/history.go",
		original:  "\tp.addEnded(h, now)\n\tp.addRunning(h.Running, now)\n\tfor",
		mutated:   "\tp.addEnded(h, now)\n\tfor",
		pkg:       "pool", test: "TestSoftwareVersions",
	},
	{
		guarantee: "versions that came and went in a gap count",
		file:      "pool/history.go",
		original:  "\t\tif !c.Deleted {\n",
		mutated:   "\t\tif c.Deleted {\n",
		pkg:       "pool", test: "TestSoftwareVersions",
	},
	{
		guarantee: "the store's changes must reach to a process's own first state",
		file:      "pool/history.go",
		original:  " || to < p.covered.from {\n",
		mutated:   " {\n",
		pkg:       "pool", test: "TestSoftwareVersions",
	},
	{
		guarantee: "the snapshot of a peer leaves a gap",
		file:      "pool/records.go",
		original:  "p.applySnapshot(list, revision, false); applied {\n",
		mutated:   "p.applySnapshot(list, revision, false); applied && p.covered.from == 0 {\n",
		pkg:       "relay", test: "TestHistoryAfterAllRelaysRestarted",
	},
	{
		guarantee: "the end of a software version is remembered",
		file:      "pool/records.go",
		original:  "\tdelete(p.members, name)\n\tp.versions.record(m.endpoint, now)\n",
		mutated:   "\tdelete(p.members, name)\n",
		pkg:       "platform", test: "TestStreamsAfterRelaysKilled",
	},
	{
		guarantee: "a take-up without a record needs the present state of most hubs, also if it names no attempt",
		file:      "relay/origin.go",
		original:  "\tif s.config.Refresh == nil || !s.config.Refresh(ctx) {\n",
		mutated:   "\tif s.config.Refresh == nil {\n",
		pkg:       "relay", test: "TestTakeUpOfUnknownVersion",
	},
	{
		guarantee: "relays that do not know the new endpoints yet learn of them from the hubs that they ask",
		file:      "relay/gossip.go",
		original:  "\t\t\ttargets = append(targets, last)\n",
		mutated:   "\t\t\t_ = last\n",
		pkg:       "relay", test: "TestRefresh",
	},
	{
		guarantee: "origins are sent once a second software version appears",
		file:      "relay/origin.go",
		original:  "\t\t\tdue[service] = !single\n",
		mutated:   "\t\t\tdue[service] = false && !single\n",
		pkg:       "platform", test: "TestStreamKeepsVersion",
	},
	{
		guarantee: "a relay that has just started knows a single version by the store's changes",
		file:      "relay/refresh.go",
		original:  "adopted := err == nil && g.pool",
		mutated:   "adopted := err != nil && g.pool",
		pkg:       "relay", test: "TestHistoryAfterAllRelaysRestarted",
	},
	{
		guarantee: "changes that the store has no more are not requested again",
		file:      "relay/refresh.go",
		original:  "\t\tg.gap.lost = h.To\n",
		mutated:   "\t\t_ = g.gap.lost\n",
		pkg:       "relay", test: "TestHistoryAfterAllRelaysRestarted",
	},
	{
		guarantee: "a refused caller is asked to return only if that can help in time",
		file:      "relay/origin.go",
		original:  "possible && wait < s.timeLeft() {\n",
		mutated:   "possible || wait < s.timeLeft() {\n",
		pkg:       "relay", test: "TestTakeUpOfUnknownVersion",
	},
	{
		guarantee: "a stream whose software version has ended is refused at once",
		file:      "relay/origin.go",
		original:  "\tcase !s.config.Pool.RunsVersion(s.service.Name, version):\n",
		mutated:   "\tcase s.config.Pool == nil:\n",
		pkg:       "relay", test: "TestTakeUpOfUnknownVersion",
	},
}
