#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the controllers: one program with the stand-ins for the
# cloud, the machines and the users; it also serves the state service of internal/emulator. The controllers are built by
# the command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
