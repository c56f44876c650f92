#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: the store of the project (platform/logsv, internal/stand/memlog) and those
# in review/_stand-3, as one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/stand-3 ./review/_stand-3
