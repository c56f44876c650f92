#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/. It needs no network: they use only the standard library.
set -e
cd "$(dirname "$0")/stand-2"
GOFLAGS= CGO_ENABLED=0 GOWORK=off go build -o ../../target/stand2 .
