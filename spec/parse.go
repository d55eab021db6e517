package spec

import (
	"regexp"

	"crocusstep/parser"
)

const (
	maxShards   = 1024
	maxAttempts = 10
)

// namePattern keeps names usable in paths, metrics and object names.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Parse decodes and checks a document. All faults come at once, with their lines.
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
	checkNumbers(document, source)
	switch document.Kind {
	case LanguageModel:
		checkModel(document, source)
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

func checkNumbers(document *Document, source *parser.Source) {
	limits := document.Limits
	atLeast(source, "weight", document.Weight, 1)
	atLeast(source, "limits.prompt-tokens", int(limits.PromptTokens), 1)
	atLeast(source, "limits.output-tokens", int(limits.OutputTokens), 1)
	atLeast(source, "limits.body-size", int(limits.BodySize), 1)
	atLeast(source, "limits.waiting", limits.Waiting, 1)
	atLeast(source, "limits.lookups", limits.Lookups, 1)
	atLeast(source, "limits.actions", limits.Actions, 1)
	within(source, "retries.attempts", document.Retries.Attempts, 1, maxAttempts)
	within(source, "retries.budget-percent", document.Retries.BudgetPercent, 0, 100)
	within(source, "fencing.shards", document.Fencing.Shards, 1, maxShards)
	if document.Goals.GoodputWeight < 0 || document.Goals.GoodputWeight > 1 {
		source.Report("goals.goodput-weight", "must lie between 0 and 1")
	}
}

func checkModel(document *Document, source *parser.Source) {
	demand(source, "pools.prefill", document.Pools.Prefill != "", "a language model needs a prefill pool")
	demand(source, "pools.decode", document.Pools.Decode != "", "a language model needs a decode pool")
	demand(source, "targets.first-token", document.Targets.FirstToken > 0, "a language model needs this target")
	demand(source, "targets.between-tokens", document.Targets.BetweenTokens > 0, "a language model needs this target")
	demand(source, "pools.serve", document.Pools.Serve == "", "only plain services have a serve pool")
	demand(source, "calls", len(document.Calls) == 0, "only plain services classify calls")
}

func checkPlain(document *Document, source *parser.Source) {
	demand(source, "pools.serve", document.Pools.Serve != "", "a plain service needs a serve pool")
	demand(source, "pools.prefill", document.Pools.Prefill == "", "only language models have a prefill pool")
	demand(source, "pools.decode", document.Pools.Decode == "", "only language models have a decode pool")
	demand(source, "targets.whole-answer", document.Targets.WholeAnswer > 0, "a plain service needs this target")
	demand(source, "calls", len(document.Calls) > 0, "a plain service needs at least one call")
	for i, call := range document.Calls {
		checkCall(source, i, call)
	}
}

func checkCall(source *parser.Source, index int, call Call) {
	key := indexed("calls", index)
	if call.Match != "" {
		if _, err := ParsePattern(call.Match); err != nil {
			source.Report(key+".match", "%v", err)
		}
	}
	switch call.Class {
	case Lookup:
		demand(source, key+".key-fields", len(call.KeyFields) == 0, "only actions have key fields")
		demand(source, key+".ignore-fields", len(call.IgnoreFields) == 0, "only actions have a body digest")
	case Action:
		demand(source, key+".share", !call.Share, "actions are never shared")
	case "":
	default:
		source.Report(key+".class", "expected lookup or action, not %q", call.Class)
	}
}

func demand(source *parser.Source, key string, holds bool, problem string) {
	if !holds {
		source.Report(key, "%s", problem)
	}
}

func atLeast(source *parser.Source, key string, value, least int) {
	if value < least {
		source.Report(key, "must be at least %d", least)
	}
}

func within(source *parser.Source, key string, value, least, most int) {
	if value < least || value > most {
		source.Report(key, "must lie between %d and %d", least, most)
	}
}
