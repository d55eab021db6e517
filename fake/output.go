package fake

import (
	"fmt"
	"hash/fnv"
	"strings"

	"crocusstep/ident"
)

// CountTokens counts a prompt's tokens: this stand-in takes words for tokens.
func CountTokens(text string) ident.TokenCount {
	return ident.TokenCount(max(1, len(strings.Fields(text))))
}

// OutputLength returns how many tokens the whole answer to a prompt has.
func OutputLength(prompt string) ident.TokenCount {
	tokens := defaultOutputTokens
	if _, rest, found := strings.Cut(prompt, LengthMarker); found {
		_, _ = fmt.Sscanf(rest, "%d", &tokens)
	}
	return ident.TokenCount(tokens)
}

// TokenText returns the token at a position of the only right answer to a prompt.
func TokenText(prompt string, position ident.TokenCount) string {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(prompt))
	return fmt.Sprintf("%08x-%d ", sum.Sum32(), position)
}

// Output returns the only right answer to a prompt.
func Output(prompt string, maxTokens ident.TokenCount) string {
	var output strings.Builder
	for position := range min(OutputLength(prompt), maxTokens) {
		output.WriteString(TokenText(prompt, position))
	}
	return output.String()
}

func commonPrefix(a, b string) string {
	length := 0
	for length < min(len(a), len(b)) && a[length] == b[length] {
		length++
	}
	return a[:length]
}
