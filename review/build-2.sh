#!/usr/bin/env bash
# Builds the program of the second review's scripts into target/review-2/. Its files are test
# code, which needs the standard library only.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS="-buildvcs=false -mod=mod" GOPROXY=off go test -c -o ../../target/review-2/stand-2 .
