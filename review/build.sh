#!/bin/bash
# Builds the stand-ins of the review into review/bin. Run after the build line of
# deploy/system.toml, which puts the nodes' program into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/standin
