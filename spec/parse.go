package spec

import (
	"regexp"

	"crocusstep/parser"
)

const (
	maxShards   = 1024
	maxAttempts = 10
)

// namePattern restricts names to what is valid in URL paths, metrics and object
// names.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Parse decodes and validates a document. Its error is a parser.FieldErrors that
// lists everything wrong with the document.
func Parse(file string, data []byte) (document Document, err error) {
	document = NewDocument()
	source := parser.Decode(file, data, &document)
	if !source.Has("service") && source.Err() != nil {
		return document, source.Err()
	}
	check(&document, source)
	return document, source.Err()
}

func check(document *Document, source *parser.Source) {
	checkNames(document, source)
	checkTargets(document, source)
	checkRanges(document, source)
	switch document.Kind {
	case LanguageModel:
		checkLanguageModel(document, source)
	case Plain:
		checkPlain(document, source)
	case "":
	default:
		source.Report("kind", "expected language-model or plain, not %q", document.Kind)
	}
}

func checkNames(document *Document, source *parser.Source) {
	names := []struct{ key, value string }{
		{"service", string(document.Service)},
		{"workspace", string(document.Workspace)},
		{"pools.prefill", string(document.Pools.Prefill)},
		{"pools.decode", string(document.Pools.Decode)},
		{"pools.serve", string(document.Pools.Serve)},
		{"regions.home", string(document.Regions.Home)},
	}
	for _, n := range names {
		if n.value != "" && !namePattern.MatchString(n.value) {
			source.Report(n.key, "expected lower-case letters, digits and dashes, not %q", n.value)
		}
	}
}

func checkTargets(document *Document, source *parser.Source) {
	targets := document.Targets
	if source.Has("targets.patience") && targets.Patience == 0 {
		source.Report("targets.patience", "must be more than zero")
	}
	if targets.ObjectivePercent <= 0 || targets.ObjectivePercent >= 100 {
		source.Report("targets.objective-percent", "must be more than 0 and less than 100")
	}
	if targets.FirstToken > targets.Patience {
		source.Report("targets.first-token", "must not be longer than the patience of %s", targets.Patience)
	}
	if targets.WholeAnswer > targets.Patience {
		source.Report("targets.whole-answer", "must not be longer than the patience of %s", targets.Patience)
	}
}

func checkRanges(document *Document, source *parser.Source) {
	limits := document.Limits
	checkMin(source, "weight", document.Weight, 1)
	checkMin(source, "limits.prompt-tokens", int(limits.PromptTokens), 1)
	checkMin(source, "limits.output-tokens", int(limits.OutputTokens), 1)
	checkMin(source, "limits.body-size", int(limits.BodySize), 1)
	checkMin(source, "limits.waiting", limits.Waiting, 1)
	checkMin(source, "limits.lookups", limits.Lookups, 1)
	checkMin(source, "limits.actions", limits.Actions, 1)
	checkRange(source, "retries.attempts", document.Retries.Attempts, 1, maxAttempts)
	checkRange(source, "retries.budget-percent", document.Retries.BudgetPercent, 0, 100)
	checkRange(source, "fencing.shards", document.Fencing.Shards, 1, maxShards)
	if document.Goals.GoodputWeight < 0 || document.Goals.GoodputWeight > 1 {
		source.Report("goals.goodput-weight", "must lie between 0 and 1")
	}
}

func checkLanguageModel(document *Document, source *parser.Source) {
	require(source, "pools.prefill", document.Pools.Prefill != "", "a language model needs a prefill pool")
	require(source, "pools.decode", document.Pools.Decode != "", "a language model needs a decode pool")
	require(source, "targets.first-token", document.Targets.FirstToken > 0, "a language model needs this target")
	require(source, "targets.between-tokens", document.Targets.BetweenTokens > 0, "a language model needs this target")
	require(source, "pools.serve", document.Pools.Serve == "", "only plain services have a serve pool")
	require(source, "calls", len(document.Calls) == 0, "only plain services classify calls")
}

func checkPlain(document *Document, source *parser.Source) {
	require(source, "pools.serve", document.Pools.Serve != "", "a plain service needs a serve pool")
	require(source, "pools.prefill", document.Pools.Prefill == "", "only language models have a prefill pool")
	require(source, "pools.decode", document.Pools.Decode == "", "only language models have a decode pool")
	require(source, "targets.whole-answer", document.Targets.WholeAnswer > 0, "a plain service needs this target")
	require(source, "calls", len(document.Calls) > 0, "a plain service needs at least one call")
	for i, call := range document.Calls {
		checkCall(source, i, call)
	}
}

func checkCall(source *parser.Source, index int, call Call) {
	key := indexedKey("calls", index)
	if call.Match != "" {
		if _, err := ParsePattern(call.Match); err != nil {
			source.Report(key+".match", "%v", err)
		}
	}
	switch call.Class {
	case Lookup:
		require(source, key+".key-fields", len(call.KeyFields) == 0, "only actions have key fields")
		require(source, key+".ignore-fields", len(call.IgnoreFields) == 0, "only actions have a body digest")
	case Action:
		require(source, key+".share", !call.Share, "actions are never shared")
	case "":
	default:
		source.Report(key+".class", "expected lookup or action, not %q", call.Class)
	}
}

func require(source *parser.Source, key string, ok bool, message string) {
	if !ok {
		source.Report(key, "%s", message)
	}
}

func checkMin(source *parser.Source, key string, value, minimum int) {
	if value < minimum {
		source.Report(key, "must be at least %d", minimum)
	}
}

func checkRange(source *parser.Source, key string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		source.Report(key, "must lie between %d and %d", minimum, maximum)
	}
}
