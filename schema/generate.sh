#!/bin/sh
# Regenerates bilberrystack/gen from the schemas. Needs Debian's thrift-compiler; the result is committed.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp -d)
for file in schema/*.thrift; do
  thrift --gen py:slots -out "$out" "$file"
done
cp -r "$out"/bilberrystack/gen/. bilberrystack/gen/
find bilberrystack/gen -name '*-remote' -delete
rm -r "$out"
