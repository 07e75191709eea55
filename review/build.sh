#!/usr/bin/env bash
# Builds what the scripts of the review start besides the controllers: the program that plays a case, with the
# project's stand-ins in it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/play ./review/play
