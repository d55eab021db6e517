package main

// stopMutants holds one mutant for each mechanism of the planned stop of an entry or agent.
var stopMutants = []mutant{
	{
		guarantee: "a stopping entry refuses what it can't complete",
		file:      "entry/drain.go",
		original:  "time.Until(*endsAt) >= needed",
		mutated:   "time.Until(*endsAt) >= 0*needed",
		pkg:       "fleet", test: "TestStoppedEntryRefusesLateRequests",
	},
	{
		guarantee: "a prompt that an entry cancels at its end before the prefill has not run",
		file:      "entry/chat_helper.go",
		original:  "if cancelledAtGraceEnd(ctx, err) {",
		mutated:   "if false {",
		pkg:       "fleet", test: "TestStoppedEntryAnswersChats",
	},
	{
		guarantee: "a stream goes on elsewhere if its agent ends it at the shutdown timeout",
		file:      "agent/controller.go",
		original:  "if err != nil && errors.Is(context.Cause(ctx), fault.ErrGraceEnded) {",
		mutated:   "if false {",
		pkg:       "fleet", test: "TestStoppedAgentHandsChatsOver",
	},
	{
		guarantee: "an agent waits for no action beyond its shutdown timeout",
		file:      "ledger/ledger.go",
		original:  "\tdefer context.AfterFunc(l.ctx, cancel)()\n",
		mutated:   "",
		pkg:       "fleet", test: "TestStoppedAgentEndsInTime",
	},
	{
		guarantee: "an agent takes its shutdown timeout once",
		file:      "start/agent_command.go",
		original:  "p.shutDown(endsAt, peers, admin)",
		mutated:   "p.shutDown(time.Now().Add(settings.Shutdown.Timeout.Std()), peers, admin)",
		pkg:       "start", test: "TestAgentStopEndsInTime",
	},
	{
		guarantee: "an agent records the actions that end soon after its shutdown timeout",
		file:      "agent/agent.go",
		original:  "\tctx, cancel := context.WithTimeout(a.ctx, recordTime)",
		mutated:   "\tctx, cancel := context.WithTimeout(a.ctx, 0)",
		pkg:       "fleet", test: "TestStoppedAgentRecordsActions",
	},
	{
		guarantee: "actions that wait at an agent's shutdown timeout are as if never sent",
		file:      "agent/agent.go",
		original:  "\ta.stopStarts()\n",
		mutated:   "",
		pkg:       "fleet", test: "TestStoppedAgentForgetsWaitingActions",
	},
	{
		guarantee: "a lost reservation does not count as a crash by its prompt",
		file:      "entry/chat_reserve.go",
		original:  "c.recordFailure(m, false)",
		mutated:   "c.recordFailure(m, true)",
		pkg:       "entry", test: "TestLostReservationIsNoCrash",
	},
	{
		guarantee: "a lookup whose response was lost may have run",
		file:      "entry/call_helper.go",
		original:  "refusal = fault.NewUnknown(fault.EndpointFailed, \"%v\", err)",
		mutated:   "refusal = fault.New(fault.EndpointFailed, \"%v\", err)",
		pkg:       "entry", test: "TestLostLookupMayHaveRun",
	},
	{
		guarantee: "the transport resends no action",
		file:      "agent/call_helper.go",
		original:  "request.Close = true",
		mutated:   "request.Close = false",
		pkg:       "agent", test: "TestActionIsNotResent",
	},
	{
		guarantee: "a stopping entry goes by how long requests of the service take",
		file:      "entry/drain.go",
		original:  "if median == 0 {",
		mutated:   "if median >= 0 {",
		pkg:       "fleet", test: "TestStoppedEntryServesWhatItCanComplete",
	},
}
