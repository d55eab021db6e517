#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/stand
