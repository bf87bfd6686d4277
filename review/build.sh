#!/usr/bin/env bash
# Builds the stand-ins of the review into target/, and the system as deploy/system.toml says if it was not built yet.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/oxbowslip-front ] || go build -ldflags=-linkmode=external -o target/ ./platform/oxbowslip-front
go build -o target/review-standin ./review/standin
