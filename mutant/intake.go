package main

// intakeMutants holds one mutant for each mechanism that keeps a caller's connection from ending
// without a response.
var intakeMutants = []mutant{
	{
		guarantee: "a connection that ends is read once more",
		file:      "intake/conn.go",
		original:  "errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding()",
		mutated:   "errors.Is(err, os.ErrDeadlineExceeded) && c == nil",
		pkg:       "intake", test: "TestShutdownAnswersWhatItHasRead",
	},
	{
		guarantee: "a request that arrives as its connection ends is read to its end",
		file:      "intake/conn.go",
		original:  "\tif c.ends {\n\t\t_ = c.applyDeadline()\n\t}\n",
		mutated:   "",
		pkg:       "intake", test: "TestShutdownAnswersWhatItHasRead",
	},
	{
		guarantee: "a shutdown ends connections that wait for a request",
		file:      "intake/intake.go",
		original:  "\t\tc.end()\n",
		mutated:   "\t\t_ = c\n",
		pkg:       "intake", test: "TestShutdownEndsConnections",
	},
	{
		guarantee: "a shutdown ends connections that are busy",
		file:      "intake/intake.go",
		original:  "\t\t\tw.Header().Set(\"Connection\", \"close\")\n",
		mutated:   "",
		pkg:       "intake", test: "TestShutdownEndsBusyConnections",
	},
	{
		guarantee: "requests are cancelled at the end of the grace period",
		file:      "intake/intake.go",
		original:  "s.cancel(fault.ErrGraceEnded)",
		mutated:   "_ = fault.ErrGraceEnded",
		pkg:       "intake", test: "TestGraceEnd",
	},
	{
		guarantee: "an incomplete response to HTTP/1.0 ends with a reset",
		file:      "intake/intake.go",
		original:  "_ = c.SetLinger(lingerReset)",
		mutated:   "_ = lingerReset",
		pkg:       "intake", test: "TestUnfinishedResponse",
	},
	{
		guarantee: "a complete response to HTTP/1.0 is not reset",
		file:      "intake/intake.go",
		original:  "_ = c.SetLinger(lingerDefault)",
		mutated:   "_ = lingerDefault",
		pkg:       "intake", test: "TestWholeResponseIsNotReset",
	},
	{
		guarantee: "a request that the relay cancels at the end of its grace period is answered",
		file:      "relay/exchange.go",
		original:  "\t\trefusal = e.refuseAtGraceEnd(ctx, refusal)\n",
		mutated:   "",
		pkg:       "platform", test: "TestGraceEndAnswersCallers",
	},
	{
		guarantee: "a panic after the start of a response cuts it",
		file:      "platform/caller_handler.go",
		original:  "\tw.started = true\n",
		mutated:   "",
		pkg:       "platform", test: "TestPanicIsAnswered",
	},
	{
		guarantee: "a deadline that is no number is no deadline",
		file:      "platform/caller_handler.go",
		original:  "if err != nil || !(count > 0) {",
		mutated:   "if err != nil || count <= 0 {",
		pkg:       "platform", test: "TestRequestFormsAreAnswered",
	},
	{
		guarantee: "a request that panics gets a response",
		file:      "platform/caller_handler.go",
		original:  "reason := recover()\n\t\tif reason == nil {",
		mutated:   "reason := any(nil)\n\t\tif reason == nil {",
		pkg:       "platform", test: "TestPanicIsAnswered",
	},
	{
		guarantee: "a relay that stops takes no request that it will cut",
		file:      "relay/drain.go",
		original:  "if endsAt == nil ||",
		mutated:   "if endsAt == nil || true ||",
		pkg:       "relay", test: "TestDrain",
	},
	{
		guarantee: "a relay that stops answers the requests that it reads",
		file:      "start/relay_server.go",
		original:  "s.callers.Shutdown(ctx)",
		mutated:   "s.callers.Server.Shutdown(ctx)",
		pkg:       "start", test: "TestRelayStopAnswersCallers",
	},
}
