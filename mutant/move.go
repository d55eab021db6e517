package main

// moveMutants holds one mutant for each mechanism that moves a stream from a silent endpoint.
var moveMutants = []mutant{
	{
		guarantee: "a stream stays until another endpoint has its prompt",
		file:      "relay/stall.go",
		original:  "if cached, err = s.prefillFor(ctx, next, maxSlotWait); err != nil {\n\t\treturn next, nil, err\n",
		mutated:   "if cached, err = s.prefillFor(ctx, next, maxSlotWait); err != nil {\n\t\tw.stream.next = next\n",
		pkg:       "relay", test: "TestFailedMoveKeepsStream",
	},
	{
		guarantee: "a stream that has moved takes nothing more from its last endpoint",
		file:      "relay/stall.go",
		original:  "if w.stream.next != nil {",
		mutated:   "if false {",
		pkg:       "relay", test: "TestMoveAtAnyTime",
	},
	{
		guarantee: "two endpoints do not work on a request for long",
		file:      "relay/stall.go",
		original:  "overlapLimit = 300 *",
		mutated:   "overlapLimit = 900 *",
		pkg:       "relay", test: "TestMoveAtAnyTime",
	},
	{
		guarantee: "the last send goes to a decode endpoint",
		file:      "relay/serve_stream.go",
		original:  "if (s.started || s.hasMoved) && s.sends+1 == maxSends {",
		mutated:   "if false {",
		pkg:       "relay", test: "TestMoveAtAnyTime",
	},
	{
		guarantee: "a release ends no later reservation of its attempt",
		file:      "keeper/keeper.go",
		original:  "(request.Grant == 0 || request.Grant == r.grant)",
		mutated:   "true",
		pkg:       "keeper", test: "TestKeeper",
	},
	{
		guarantee: "a stream does not move to an endpoint that fails the request",
		file:      "relay/stall.go",
		original:  "if !response.Successful() || !response.Signed {",
		mutated:   "if false {",
		pkg:       "relay", test: "TestMoveToFailingEndpointKeepsStream",
	},
	{
		guarantee: "moves keep to the limit of endpoints",
		file:      "relay/stall.go",
		original:  "|| s.executions+w.uncounted >= s.route.MaxEndpoints",
		mutated:   "",
		pkg:       "relay", test: "TestFailedMovesKeepLimitOfEndpoints",
	},
	{
		guarantee: "a failed move returns its retries",
		file:      "relay/stall.go",
		original:  "\ts.retryLimiter(s.service.Name).Return(s.prepaidAt, time.Now(), s.prepaidSends)\n",
		mutated:   "",
		pkg:       "relay", test: "TestFailedMove",
	},
}
