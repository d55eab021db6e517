#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig2 ./review/rig2
