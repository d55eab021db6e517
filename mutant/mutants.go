package main

// mutants is every mechanism whose test was shown to need it.
var mutants = []mutant{
	{
		promise: "a shard's write is conditional on the version before it",
		file:    "ledger/writer.go",
		old:     "version, err := w.store.Put(ctx, w.key, value, w.version)",
		changed: "current, _ := w.store.Get(ctx, w.key)\n\tversion, err := w.store.Put(ctx, w.key, value, current.Version)",
		pkg:     "ledger", test: "TestHistory",
	},
	{
		promise: "the call waits for the durable start",
		file:    "ledger/ledger.go",
		old:     "\tw.submit(b)\n\ttimer",
		changed: "\tw.submit(b)\n\treturn beginResult{}, nil\n\ttimer",
		pkg:     "ledger", test: "TestHistory",
	},
	{
		promise: "a lost answer of the endpoint is never taken for not run",
		file:    "ledger/ledger.go",
		old:     "if errors.Is(err, ErrNotSent) {",
		changed: "if err != nil {",
		pkg:     "ledger", test: "TestHistory",
	},
	{
		promise: "a start found after a lost answer is known as one's own",
		file:    "ledger/mutation.go",
		old:     "own := ok && found.Attempt == b.record.Attempt",
		changed: "own := false",
		pkg:     "ledger", test: "TestLedger/a_write_whose",
	},
	{
		promise: "a start that nobody waits for is taken back",
		file:    "ledger/mutation.go",
		old:     "\t\tb.takeBack()\n",
		changed: "",
		pkg:     "ledger", test: "TestLedger/a_start_that_became",
	},
	{
		promise: "without the ledger nobody is told not-run",
		file:    "ledger/ledger.go",
		old:     `fault.NewUnknown(fault.LedgerUnavailable, "the platform did not confirm`,
		changed: `fault.New(fault.LedgerUnavailable, "the platform did not confirm`,
		pkg:     "ledger", test: "TestHistory",
	},
	{
		promise: "actions at once share their writes",
		file:    "ledger/writer.go",
		old:     "batch := w.pending\n\tw.pending = nil\n\treturn batch",
		changed: "if len(w.pending) == 0 {\n\t\treturn nil\n\t}\n\tbatch := w.pending[:1:1]\n\tw.pending = w.pending[1:]\n\treturn batch",
		pkg:     "ledger", test: "TestLedger/many_actions",
	},
	{
		promise: "an action that another holder ended is read again",
		file:    "ledger/writer.go",
		old:     "if cached && !changed && blocked(batch) {",
		changed: "if false {",
		pkg:     "ledger", test: "TestLedger/a_paused",
	},
	{
		promise: "pieces of an abandoned attempt are dropped",
		file:    "answer/assembler.go",
		old:     "if frame.Request != a.request || frame.Attempt != a.attempt {",
		changed: "if frame.Request != a.request {",
		pkg:     "answer", test: "TestAccept",
	},
	{
		promise: "the end counts the pieces",
		file:    "answer/assembler.go",
		old:     `if frame.Position != a.next || frame.Finish == "" {`,
		changed: `if frame.Finish == "" {`,
		pkg:     "answer", test: "TestAnyDelivery",
	},
}
