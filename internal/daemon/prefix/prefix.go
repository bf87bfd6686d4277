// Package prefix hashes the leading parts of a prompt, so that prompts with a common prefix can be
// sent to an endpoint that probably has it cached. Of the two programs, only oxbowslipd uses it;
// in oxbowslip-front callers name the parts of a prompt. It does no I/O.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed length of a token in a prompt's text, which is about right for
// English. An error in it scales all estimates alike.
const BytesPerToken = 4

// TokensPerPart is the number of tokens by which each hashed part is longer than the previous one.
const TokensPerPart = 256

const bytesPerPart = TokensPerPart * BytesPerToken

// maxParts bounds the hashed parts of a prompt, 16,384 tokens. Text beyond that is not compared.
const maxParts = 64

// Tokens estimates the number of tokens in a prompt's text.
func Tokens(text []byte) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Hashes returns the hash of each leading part of a text, shortest first. The salt is part of each
// hash, so that texts of different workspaces never match.
func Hashes(salt string, text []byte) []uint64 {
	parts := min(len(text)/bytesPerPart, maxParts)
	if parts == 0 {
		return nil
	}
	hashes := make([]uint64, parts)
	sum := xxhash.Sum64String(salt)
	var chain [8]byte
	digest := xxhash.New()
	for i := range hashes {
		digest.Reset()
		binary.LittleEndian.PutUint64(chain[:], sum)
		digest.Write(chain[:])
		digest.Write(text[i*bytesPerPart : (i+1)*bytesPerPart])
		sum = digest.Sum64()
		hashes[i] = sum
	}
	return hashes
}
