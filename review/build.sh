#!/usr/bin/env bash
# The stand-ins are plain JavaScript that Node.js runs as it is: nothing is compiled, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do
	[ ! -e "$file" ] || node --check "$file"
done
