#!/usr/bin/env bash
# Builds the stand-ins of the cases into out/review/. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review
GOWORK=off GOFLAGS=-buildvcs=false go build -o out/review/lab review/lab/*.go
