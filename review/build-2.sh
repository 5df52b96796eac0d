#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the standard library only, so this compiles
# them; none of the project's own stand-ins is started.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins2
