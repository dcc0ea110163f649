#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. The build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3/standin ./review/_standin-3
