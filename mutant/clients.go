package main

// clientMutants holds one mutant for each mechanism that bounds what a process holds for its clients.
var clientMutants = []mutant{
	{
		guarantee: "what is incomplete for longest yields",
		file:      "intake/budget.go",
		original:  "max(now.Sub(s.began), minAge).Seconds()",
		mutated:   "max(now.Sub(now), minAge).Seconds()",
		pkg:       "intake", test: "TestDroppedRequestIsRefused|TestBudgetOrder",
	},
	{
		guarantee: "a complete request does not yield",
		file:      "intake/budget.go",
		original:  "if s.complete || s.dropped {",
		mutated:   "if s.dropped {",
		pkg:       "intake", test: "TestBudgetOrder",
	},
	{
		guarantee: "large requests leave a part for small ones",
		file:      "intake/budget.go",
		original:  "\treturn b.largeSize\n",
		mutated:   "\treturn b.size\n",
		pkg:       "intake", test: "TestBudgetOrder",
	},
	{
		guarantee: "the buffer of a body counts",
		file:      "intake/body.go",
		original:  "if err := share.take(size); err != nil {",
		mutated:   "if err := share.take(0); err != nil {",
		pkg:       "intake", test: "TestDroppedRequestIsRefused",
	},
	{
		guarantee: "a request returns its memory",
		file:      "intake/intake.go",
		original:  "\t\tdefer c.endRequest()\n",
		mutated:   "",
		pkg:       "intake", test: "TestDroppedRequestIsRefused",
	},
	{
		guarantee: "connections have a limit",
		file:      "intake/intake.go",
		original:  "s.MaxConns > 0 && len(s.conns) >= s.MaxConns",
		mutated:   "false",
		pkg:       "intake", test: "TestConnectionsYield",
	},
	{
		guarantee: "a connection with a complete request does not yield",
		file:      "intake/conn.go",
		original:  "return c.since, !c.handled || !c.bodyEnded",
		mutated:   "return c.since, true",
		pkg:       "intake", test: "TestConnectionsYield",
	},
	{
		guarantee: "the operators' limit on heads holds",
		file:      "intake/conn.go",
		original:  "maxHead > 0 && c.headBytes",
		mutated:   "maxHead < 0 && c.headBytes",
		pkg:       "intake", test: "TestOperatorsLimits",
	},
	{
		guarantee: "the operators' time for heads holds",
		file:      "intake/conn.go",
		original:  "limit = limits.HeadTimeout",
		mutated:   "limit = 0",
		pkg:       "intake", test: "TestOperatorsLimits",
	},
	{
		guarantee: "few connections have bytes behind a request",
		file:      "intake/conn.go",
		original:  "c.bodyEnded && !c.setPipelined(true)",
		mutated:   "c.bodyEnded && c.setPipelined(true) && false",
		pkg:       "intake", test: "TestBytesBehindRequests",
	},
	{
		guarantee: "a caller that reads nothing ends its connection",
		file:      "intake/conn.go",
		original:  "deadline := began.Add(c.writeCredit)",
		mutated:   "deadline := began.Add(time.Hour * 1000)",
		pkg:       "intake", test: "TestSlowReaders/one_that_reads_nothing",
	},
	{
		guarantee: "a body that no handler bounds ends in time",
		file:      "intake/conn.go",
		original:  "limit = bodyTimeout",
		mutated:   "limit = 0",
		pkg:       "intake", test: "TestSlowBodies",
	},
}
