package main

import (
	"testing"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// TestGoldenOptions holds the command line to that of commit 4c58500.
func TestGoldenOptions(t *testing.T) { golden.Text(t, "options.txt", golden.Options(arguments{})) }
