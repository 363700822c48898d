#!/bin/sh
# The stand-ins are Python of the standard library: compiling them shows that they load.
# The system itself is built by the line `build` of deploy/system.toml before.
set -e
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review/lib
