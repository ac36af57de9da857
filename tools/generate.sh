#!/usr/bin/env bash
# Generates the committed protobuf code of the peer messages from schema/peer.proto.
# usage: tools/generate.sh [FOLDER]   (default: src/wasabiroad/peer/generated)
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-src/wasabiroad/peer/generated}
protoc --proto_path=schema --cpp_out="$folder" peer.proto
