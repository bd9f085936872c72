#!/bin/sh
# Builds the stand-ins of the cases. Needs no network: the module has no dependencies.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standin .
