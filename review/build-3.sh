#!/bin/sh
# Compiles the stand-ins of the scripts in 11 to 15; they need the standard library only.
cd "$(dirname "$0")" && exec python3 -m compileall -q lib-3
