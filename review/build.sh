#!/bin/sh
# Builds the stand-ins of the cases in this folder: callers, upstreams and the platform's store, in one program.
# The build tag keeps the program out of the build, the vet, the linter and the tests of the repository.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/ ./review/lab
