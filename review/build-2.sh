#!/bin/bash
# Builds the stand-ins of the second review into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin-2 ./review/standin-2
