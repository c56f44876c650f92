#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target/review
go build -o ../../target/review/rig .
