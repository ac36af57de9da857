#!/usr/bin/env bash
# Generates the committed protobuf code of the peer messages and of the records of jobs.
# usage: tools/generate.sh [FOLDER]   (default: src; the folders below it mirror src)
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-src}
mkdir -p "$folder/wasabiroad/peer/generated" "$folder/wasabiroad/jobs/generated"
protoc --proto_path=schema --cpp_out="$folder/wasabiroad/peer/generated" peer.proto
protoc --proto_path=schema --cpp_out="$folder/wasabiroad/jobs/generated" jobs.proto
