#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/peppertack_platform ] || exit 2
status=0
timeout --foreground --kill-after=3 112 "$program" "$folder" || status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
