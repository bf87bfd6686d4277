package main

import (
	"testing"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// TestGoldenOptions checks that the command-line options equal the recorded ones.
func TestGoldenOptions(t *testing.T) { golden.Text(t, "options.txt", golden.Options(arguments{})) }
