package main

// admitMutants holds one mutant for each mechanism of the order of admission.
var admitMutants = []mutant{
	{
		guarantee: "the more urgent precedes at a full engine",
		file:      "admit/order.go",
		original:  "\t\tcmp.Compare(r.Priority, other.Priority),\n",
		mutated:   "",
		pkg:       "keeper", test: "TestOrderAtFullEngine",
	},
	{
		guarantee: "streams that have begun precede all others",
		file:      "admit/order.go",
		original:  "\t\tcompareFirst(r.Timing == Begun, other.Timing == Begun),\n",
		mutated:   "",
		pkg:       "keeper", test: "TestOrderAtFullEngine",
	},
	{
		guarantee: "a workspace that used more than its share comes later",
		file:      "admit/order.go",
		original:  "\t\tcmp.Compare(r.Debt, other.Debt),\n",
		mutated:   "",
		pkg:       "keeper", test: "TestOrderAtFullEngine",
	},
	{
		guarantee: "a late request leaves its memory to those in time that are expected",
		file:      "keeper/order.go",
		original:  "if rate == 0 {",
		mutated:   "if rate >= 0 {",
		pkg:       "keeper", test: "TestLateYieldsToExpected",
	},
	{
		guarantee: "a less urgent priority is served half as often as all",
		file:      "admit/book.go",
		original:  "own.credit < 1 {",
		mutated:   "own.credit < 9 {",
		pkg:       "admit", test: "TestAging",
	},
	{
		guarantee: "a workspace is charged for what its requests used",
		file:      "admit/book.go",
		original:  "u.tokens.add(now, left, usageWindow)",
		mutated:   "u.tokens.add(now, 0*left, usageWindow)",
		pkg:       "admit", test: "TestCorrect",
	},
	{
		guarantee: "a request counts as demand once, at the first keeper asked",
		file:      "admit/book.go",
		original:  "if o.Again {",
		mutated:   "if false {",
		pkg:       "admit", test: "TestDemand",
	},
	{
		guarantee: "without priorities and workspaces nothing is ordered",
		file:      "table/order.go",
		original:  "known && priority != r.Priority",
		mutated:   "known && priority >= 0",
		pkg:       "table", test: "TestOrdered",
	},
}
