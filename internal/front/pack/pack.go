// Package pack compresses documents for the way between hosts of oxbowslip-front: by themselves, or as
// a patch against a document that the other end has. The format is Zstandard; a patch is a frame whose
// dictionary is the older document.
package pack

import (
	"math/bits"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
)

// ErrDamaged is given for bytes that are not a packed document, or not one that was
// packed against the given base.
var ErrDamaged = merry.Sentinel("packed document is damaged or was made on another base")

const (
	// baseID identifies the dictionary of a patch in its frame. All versions use the same.
	baseID = 1
	// maxDocument bounds an unpacked document, in bytes, so that a damaged frame can't fill the memory.
	maxDocument = 64 << 20
)

// Compress packs a document for those that hold base. An empty base packs it by itself.
func Compress(base, document []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window(len(base) + len(document))), zstd.WithLowerEncoderMem(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(document, nil), nil
}

// Decompress returns the document that was packed on the same base. The frame carries a
// checksum, so that a wrong base is found.
func Decompress(base, patch []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocument), zstd.WithDecoderLowmem(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(patch, nil)
	if err != nil {
		return nil, merry.Wrap(ErrDamaged, merry.WithCause(err))
	}
	return document, nil
}

// window is the least window, a power of two, that reaches over a number of bytes.
func window(size int) int {
	return min(max(1<<bits.Len(uint(size)), zstd.MinWindowSize), zstd.MaxWindowSize)
}
