#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start. The program itself comes from the build of the deploy file; the stand-ins
# are in review/lib-2 and run from their sources, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x node_modules/.bin/node ] || npm ci --silent
for file in review/lib-2/*.ts; do
	node_modules/.bin/node --check "$file"
done
for case in 6 7 8 9 10; do
	if [ -f "review/$case/case.ts" ]; then
		node_modules/.bin/node --check "review/$case/case.ts"
	fi
done
