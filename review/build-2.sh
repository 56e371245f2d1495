#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. It needs Go alone, and no module beside the standard
# library.
set -euo pipefail
cd "$(dirname "$0")/lab2"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/lab2 .
