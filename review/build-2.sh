#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and 5 beside the program that deploy/system.toml builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig
