#!/bin/sh
# Installs the pinned dependencies and the project's packages into target/deps.
set -eu
deps=target/deps
mark=target/requirements.installed
if ! cmp -s deploy/requirements.txt "$mark"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps --target "$deps" \
        -r deploy/requirements.txt
    cp deploy/requirements.txt "$mark"
fi
rm -rf "$deps/auburnhollow" "$deps/auburnhollow_node" "$deps/auburnhollow_platform"
cp -R packages/auburnhollow/src/auburnhollow packages/auburnhollow-node/src/auburnhollow_node \
    platform/src/auburnhollow_platform "$deps/"
find "$deps"/auburnhollow* -name tests -type d -prune -exec rm -rf {} +
python3 -m compileall -q "$deps"
