#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. It needs no network. The program contains the
# project's own stand-ins of the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOTOOLCHAIN=local GOPROXY=off GOFLAGS="${GOFLAGS:--buildvcs=false}"
mkdir -p target/review
go build -o target/review/standin-2 ./review/_standin-2
