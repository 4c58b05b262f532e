#!/usr/bin/env bash
# Builds the stand-ins of the cases into out/review/. They are test code, which needs the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review
GOWORK=off GOFLAGS=-buildvcs=false go test -c -o out/review/lab review/lab/*_test.go
