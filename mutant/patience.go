package main

// patienceMutants holds one mutant for each mechanism that answers callers before they leave.
var patienceMutants = []mutant{
	{
		guarantee: "a response that has not begun is given up before its caller leaves",
		file:      "relay/patience.go",
		original:  "\t\tif e.claimed.CompareAndSwap(false, true) {",
		mutated:   "\t\tif false {",
		pkg:       "relay", test: "TestSilencePromptsRefusal",
	},
	{
		guarantee: "the refusal has time to reach the caller",
		file:      "relay/patience.go",
		original:  "min(patience-r.transit(patience), ",
		mutated:   "min(patience-deadlineMargin, ",
		pkg:       "platform", test: "TestCallersAreAnsweredBeforeTheyLeave",
	},
	{
		guarantee: "a response that is given up does not begin",
		file:      "relay/patience.go",
		original:  "e.begun = e.claimed.CompareAndSwap(false, true)",
		mutated:   "e.begun = true",
		pkg:       "relay", test: "TestGivenUpStreamDoesNotBegin",
	},
	{
		guarantee: "a response that has begun is not given up",
		file:      "relay/patience.go",
		original:  "e.begun = e.claimed.CompareAndSwap(false, true)",
		mutated:   "e.begun = !e.claimed.Load()",
		pkg:       "relay", test: "TestSlowStreamIsNotGivenUp",
	},
	{
		guarantee: "a caller that is given up has not left",
		file:      "relay/patience.go",
		original:  " && !errors.Is(context.Cause(ctx), errGivenUp)",
		mutated:   "",
		pkg:       "relay", test: "TestSilencePromptsRefusal",
	},
	{
		guarantee: "routes tell how long callers wait without an event",
		file:      "platform/config.go",
		original:  "\t\tPatience:       r.patience(kind),\n",
		mutated:   "",
		pkg:       "platform", test: "TestCallersAreAnsweredBeforeTheyLeave",
	},
	{
		guarantee: "a body that does not come is refused before its caller leaves",
		file:      "platform/caller_handler.go",
		original:  "earliest(request.Arrived.Add(bodyReadTimeout), h.relay.AnswerBy(request))",
		mutated:   "request.Arrived.Add(bodyReadTimeout)",
		pkg:       "platform", test: "TestSlowBodyIsRefusedInTime",
	},
}
