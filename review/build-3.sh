#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into target/. The programs of the
# project are built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
for case in 11 12 13; do
	go build -o "target/review-3-$case" "./review/$case"
done
