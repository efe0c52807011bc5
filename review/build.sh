#!/bin/sh
# Builds the stand-ins of the cases. They are TypeScript that the project's own Node runs as it is, on libraries that the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 2
test -x target/wagtailroute && test -x node_modules/.bin/node
