package fake

import (
	"fmt"
	"hash/fnv"
	"strings"

	"crocusstep/ident"
)

// CountTokens returns the number of tokens in a prompt. The fake engine has one
// token per word.
func CountTokens(text string) ident.TokenCount {
	return ident.TokenCount(max(1, len(strings.Fields(text))))
}

// OutputLength returns the number of tokens in the complete output for a prompt.
func OutputLength(prompt string) ident.TokenCount {
	tokens := defaultOutputTokens
	if _, rest, found := strings.Cut(prompt, LengthMarker); found {
		_, _ = fmt.Sscanf(rest, "%d", &tokens)
	}
	return ident.TokenCount(tokens)
}

// TokenText returns the token at a position of the output for a prompt.
func TokenText(prompt string, position ident.TokenCount) string {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(prompt))
	return fmt.Sprintf("%08x-%d ", sum.Sum32(), position)
}

// Output returns the output for a prompt, which is deterministic, up to a number of
// tokens.
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
