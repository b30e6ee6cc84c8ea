#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the build of the deploy file:
# the stand-ins of the store, the servers and the callers, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/case3 ./review/case3
