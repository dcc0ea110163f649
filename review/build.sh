#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. It needs no network and only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOTOOLCHAIN=local GOPROXY=off GOFLAGS="${GOFLAGS:--buildvcs=false}"
mkdir -p target/review
go build -o target/review/standin ./review/_standin
