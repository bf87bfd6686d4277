// Package pack compresses the documents that hosts of oxbowslip-front send to each other, either alone or as a patch
// against a document that the receiver has. The format is Zstandard; a patch is a frame with the older document as its
// dictionary. The package owns this format; package peersync keeps the documents.
package pack

import (
	"math/bits"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
)

// ErrDamaged is returned for data that is not a compressed document, or was compressed against another base.
var ErrDamaged = merry.Sentinel("compressed document is damaged or was compressed against another base")

const (
	// baseID is the dictionary ID in the frame of a patch, the same in all versions.
	baseID = 1
	// maxDocumentBytes bounds a decompressed document, so that a damaged frame cannot exhaust the memory.
	maxDocumentBytes = 64 << 20
)

// Compress compresses a document for receivers that have base. With an empty base it compresses the document alone.
func Compress(base, document []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowSize(len(base) + len(document))), zstd.WithLowerEncoderMem(true),
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

// Decompress returns a document that was compressed against the same base. The frame's checksum detects a wrong
// base.
func Decompress(base, patch []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocumentBytes), zstd.WithDecoderLowmem(true),
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

// windowSize returns the smallest window, a power of two, that covers a number of bytes.
func windowSize(size int) int {
	return min(max(1<<bits.Len(uint(size)), zstd.MinWindowSize), zstd.MaxWindowSize)
}
