#!/bin/bash
# An engine leaves right before the store deletes old records. See claim.txt.
exec "$(dirname "$0")/../play.sh" "$(cd "$(dirname "$0")" && pwd)" removed
