package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var words = [...]string{
	"amber", "birch", "cedar", "delta", "ember", "fern", "grove", "heath",
	"inlet", "juniper", "kelp", "lark", "marsh", "north", "oak", "pine",
}

// Token returns token i, counted from 1, of the answer to a prompt. It depends
// only on its arguments, so that any engine can continue an answer that another
// one started, and a checker can verify answers.
func Token(prompt string, i identifier.Tokens) string {
	sum := xxhash.Sum64String(prompt + "\x00" + strconv.FormatInt(int64(i), 10))
	word := words[sum%uint64(len(words))]
	return word + strconv.FormatUint(sum>>32%1000, 10) + " "
}

// Tokens returns the first n tokens of the answer to a prompt.
func Tokens(prompt string, n identifier.Tokens) []string {
	tokens := make([]string, 0, n)
	for i := identifier.Tokens(1); i <= n; i++ {
		tokens = append(tokens, Token(prompt, i))
	}
	return tokens
}

// Answer returns the first n tokens of the answer to a prompt as one string.
func Answer(prompt string, n identifier.Tokens) string {
	return strings.Join(Tokens(prompt, n), "")
}
