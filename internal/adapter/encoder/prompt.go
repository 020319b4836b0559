package encoder

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// BytesPerToken is the approximation by which the tokens of prompts are counted.
	BytesPerToken = 4
	// BlockTokens is the size of one block of an engine's prefix cache.
	BlockTokens = 64
)

// PromptTokens returns the approximate number of tokens of a prompt.
func PromptTokens(prompt string) identifier.Tokens {
	return identifier.Tokens((len(prompt) + BytesPerToken - 1) / BytesPerToken)
}

// Prefix returns the hashes of the complete blocks of a prompt, shortest prefix first.
// Each hash covers its block and all blocks before it.
func Prefix(prompt string) []identifier.PrefixHash {
	const blockBytes = BlockTokens * BytesPerToken
	var hashes []identifier.PrefixHash
	var before [8]byte
	for len(prompt) >= blockBytes {
		digest := xxhash.New()
		_, _ = digest.Write(before[:])
		_, _ = digest.WriteString(prompt[:blockBytes])
		sum := digest.Sum64()
		binary.BigEndian.PutUint64(before[:], sum)
		hashes = append(hashes, identifier.PrefixHash(sum))
		prompt = prompt[blockBytes:]
	}
	return hashes
}
