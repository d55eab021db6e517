package main

// entryMutants holds one mutant for each mechanism against stored entries of other writers.
var entryMutants = []mutant{
	{
		guarantee: "a plain response of an entry states its length",
		file:      "entry/call_controller.go",
		original:  "\t\tw.Header().Set(\"Content-Length\", strconv.Itoa(len(response.Body)))\n",
		mutated:   "\t\t_ = strconv.Itoa(len(response.Body))\n",
		pkg:       "entry", test: "TestCallResponseHasLength",
	},
	{
		guarantee: "an entry that cannot be read costs itself only, in a list",
		file:      "platform/envelope.go",
		original:  "splitEnvelope(body, \"items\")",
		mutated:   "splitEnvelope(nil, \"items\")",
		pkg:       "platform", test: "TestOddEntry",
	},
	{
		guarantee: "an entry that cannot be read costs itself only, in a watch",
		file:      "platform/envelope.go",
		original:  "splitEnvelope(body, \"events\")",
		mutated:   "splitEnvelope(nil, \"events\")",
		pkg:       "platform", test: "TestOddEntryInAWatch",
	},
	{
		guarantee: "a deletion counts although the entry cannot be read",
		file:      "platform/envelope.go",
		original:  "if !decodeMember(data, \"deleted\", &e.Deleted) {",
		mutated:   "if end < 0 {",
		pkg:       "platform", test: "TestOddEntry|FuzzSplitEnvelope",
	},
	{
		guarantee: "a broken entry hides no other one",
		file:      "platform/envelope.go",
		original:  " && bytes.Count(values[start:end], []byte(`\"metadata\"`)) == 1",
		mutated:   "",
		pkg:       "platform", test: "TestBrokenElementHidesNoOther",
	},
	{
		guarantee: "a response without the store's revision does not count",
		file:      "platform/envelope.go",
		original:  "\tif revision < 0 {",
		mutated:   "\tif revision < noRevision {",
		pkg:       "platform", test: "TestEnvelopeMustBeSound",
	},
	{
		guarantee: "an endpoint whose record turns odd is not used",
		file:      "platform/store_readers.go",
		original:  "\t\t\tchanges = append(changes, pool.Change{Endpoint: pool.Endpoint{Name: ident.EndpointName(o.Name)}, Deleted: true})\n\t\t\tcontinue\n\t\t}\n\t\tchanges",
		mutated:   "\t\t\tcontinue\n\t\t}\n\t\tchanges",
		pkg:       "platform", test: "TestOddEntry",
	},
	{
		guarantee: "a start far in the future names no endpoint",
		file:      "platform/store_readers.go",
		original:  "r.StartMillis < 0 || r.StartMillis > latest",
		mutated:   "r.StartMillis < 0 && r.StartMillis > latest",
		pkg:       "platform", test: "TestOddEntry",
	},
	{
		guarantee: "a number of slots that no endpoint has names no endpoint",
		file:      "platform/store_readers.go",
		original:  "r.Slots < 1 || r.Slots > maxSlots",
		mutated:   "r.Slots < 1",
		pkg:       "platform", test: "TestOddEntry",
	},
	{
		guarantee: "a name that is too long or cannot stand in a header names no endpoint",
		file:      "platform/store_readers.go",
		original:  "if !isName(text) && (",
		mutated:   "if text == \"\" && (",
		pkg:       "platform", test: "TestOdd",
	},
	{
		guarantee: "a watch that cannot be read is followed by a list",
		file:      "store/watcher.go",
		original:  "case errors.Is(err, ErrCompacted), errors.Is(err, ErrUnreadable):",
		mutated:   "case errors.Is(err, ErrCompacted):",
		pkg:       "platform", test: "TestWatchThatIsTooLong",
	},
	{
		guarantee: "a skipped record is logged once for each revision",
		file:      "platform/skips.go",
		original:  "found && last == version",
		mutated:   "found && last > version",
		pkg:       "platform", test: "TestSkippedRecordIsLoggedOnce",
	},
}
