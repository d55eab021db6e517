package main

// costMutants holds one mutant for each mechanism that sends requests where they cost least.
var costMutants = []mutant{
	{
		guarantee: "a prompt is not prefilled again unless its decode may be sent, too",
		file:      "relay/prefill.go",
		original:  "s.sends > 0 && (s.sends+resumeSends > maxSends",
		mutated:   "false && (s.sends+resumeSends > maxSends",
		pkg:       "relay", test: "TestNoPrefillWithoutDecode",
	},
	{
		guarantee: "processes with the same old reports do not all choose the same engine",
		file:      "cost/order.go",
		original:  "\t\tif deviation > 0 {",
		mutated:   "\t\tif false {",
		pkg:       "cost", test: "TestHerd",
	},
	{
		guarantee: "outliers do not falsify the speed of an engine",
		file:      "cost/median.go",
		original:  "\tmedian = middle(values)\n",
		mutated:   "\tmedian = middle(values)\n\tfor _, v := range values {\n\t\tmedian = max(median, v)\n\t}\n",
		pkg:       "cost", test: "TestMedian",
	},
	{
		guarantee: "the speed of another process with an engine's name is not used",
		file:      "cost/engine.go",
		original:  "known.process == process && known.speed.Slowdown > 0",
		mutated:   "known.speed.Slowdown > 0",
		pkg:       "cost", test: "TestSpeeds",
	},
	{
		guarantee: "a keeper forgets the speed of an engine that restarts",
		file:      "keeper/engine_state.go",
		original:  "\t\tk.speed = engineSpeed{}\n",
		mutated:   "",
		pkg:       "keeper", test: "TestSpeedIsLearned",
	},
	{
		guarantee: "learned predictions of outputs are used only where they have been closer",
		file:      "cost/output.go",
		original:  "if seen.gain < minGain {",
		mutated:   "if false {",
		pkg:       "cost", test: "TestShuffledHints",
	},
	{
		guarantee: "a prompt is prefilled at an idle engine rather than behind another prompt",
		file:      "relay/learned.go",
		original:  "next := s.probePrefill(ctx, members, decodeZone, costs)",
		mutated:   "next := s.schedulePrefill(ctx, members, wait)",
		pkg:       "relay", test: "TestPrefillAtIdleEngine",
	},
	{
		guarantee: "a slow engine's streams are stalled for no longer than those of a usual one",
		file:      "relay/learned.go",
		original:  "max(1, view.RelativeStep(m.Name, processOf(m)))",
		mutated:   "min(1, view.RelativeStep(m.Name, processOf(m)))",
		pkg:       "relay", test: "TestSlowEngineStallsLess",
	},
	{
		guarantee: "slow engines get requests once the fast ones are full",
		file:      "pool/cost_rank.go",
		original:  "if cheapest > 0 && len(list) > tries {",
		mutated:   "if false {",
		pkg:       "pool", test: "TestSlowEnginesAreExplored",
	},
	{
		guarantee: "all relays hear of an engine whose prompts cannot be fetched",
		file:      "relay/try.go",
		original:  "\t\ts.reportLapse(cached.Endpoint)\n",
		mutated:   "",
		pkg:       "relay", test: "TestLapseIsReported",
	},
	{
		guarantee: "an engine whose prompts cannot be fetched is avoided",
		file:      "keeper/prefill.go",
		original:  "if request.Speed && k.lapses.lapsing(now) {",
		mutated:   "if false {",
		pkg:       "keeper", test: "TestLapsingEngineIsAvoided",
	},
}
