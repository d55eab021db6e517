package main

// responseMutants holds one mutant for each mechanism that tells which request a response belongs to.
var responseMutants = []mutant{
	{
		guarantee: "chunks with HTTP/1.0 are no body",
		file:      "client/conn.go",
		original:  "[]byte(\"\\ntransfer-encoding:\")",
		mutated:   "[]byte(\"\\nno-encoding:\")",
		pkg:       "client", test: "TestChunksInHTTP10",
	},
	{
		guarantee: "a head with the ids of two requests belongs to neither",
		file:      "client/conn.go",
		original:  "return id != ids[0]",
		mutated:   "return id == \"\" && id != ids[0]",
		pkg:       "client", test: "TestMergedHeads",
	},
	{
		guarantee: "no connection carries two requests with one id",
		file:      "client/client.go",
		original:  " && !k.hasCarried(id)",
		mutated:   "",
		pkg:       "platform", test: "TestRejectionWrittenOnceMore",
	},
	{
		guarantee: "a connection that brought another request's response is closed",
		file:      "client/conn.go",
		original:  "\t\tk.faulty = true\n",
		mutated:   "",
		pkg:       "client", test: "TestFaultyConnectionIsNotReused",
	},
	{
		guarantee: "an idle connection with unexpected bytes is closed",
		file:      "client/conn.go",
		original:  "silent = errors.Is(err, syscall.EAGAIN)",
		mutated:   "silent = err == nil || errors.Is(err, syscall.EAGAIN)",
		pkg:       "client", test: "TestCopyOnIdleConnection",
	},
	{
		guarantee: "a response without an id neither pauses nor limits an endpoint",
		file:      "platform/endpoint_client.go",
		original:  "if request.Header.Get(attemptHeader) == \"\" {",
		mutated:   "if false {",
		pkg:       "platform", test: "TestCopiedRejectionStatesNothing",
	},
	{
		guarantee: "a connection remembers a limited number of ids",
		file:      "client/conn.go",
		original:  "k.faulty || len(k.carried) >= maxCarried {",
		mutated:   "k.faulty {",
		pkg:       "client", test: "TestCarriedIDsAreLimited",
	},
	{
		guarantee: "a response to another request is rejected",
		file:      "client/conn.go",
		original:  "return echo == \"\" || echoed == want || echoed == \"\" && !k.reused",
		mutated:   "return echoed != want+\"none\"",
		pkg:       "client", test: "TestClient",
	},
	{
		guarantee: "an order to an engine has a connection of its own",
		file:      "platform/endpoint_client.go",
		original:  "\torders.DisableKeepAlives = true\n",
		mutated:   "\torders = config.Transport\n",
		pkg:       "platform", test: "TestEngineWritesResponseOnceMore",
	},
	{
		guarantee: "no report follows a refused one on its connection",
		file:      "platform/endpoint_client.go",
		original:  "\t\te.reports.CloseIdleConnections()\n",
		mutated:   "",
		pkg:       "platform", test: "TestEngineWritesResponseOnceMore",
	},
	{
		guarantee: "a call to a plain service has a connection of its own",
		file:      "agent/call_helper.go",
		original:  "\trequest.Close = true\n",
		mutated:   "",
		pkg:       "agent", test: "TestEndpointWritesResponseOnceMore",
	},
	{
		guarantee: "a request to an engine has a connection of its own",
		file:      "engine/engine.go",
		original:  "\thttpRequest.Close = true\n",
		mutated:   "",
		pkg:       "agent", test: "TestEndpointWritesResponseOnceMore",
	},
}
