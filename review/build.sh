#!/bin/sh
# Builds the stand-ins of the cases in this folder: callers, upstreams and the platform's store, in one program.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/lab
