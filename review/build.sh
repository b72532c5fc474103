#!/usr/bin/env bash
# Builds the stand-ins of the cases as target/review/standins. Needs only the
# packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O1 -Wall -Wextra -I. -Iinclude -o target/review/standins \
  review/standins/*.cc platform/names.cc platform/testing/stand_in_store.cc \
  src/adapters/http.cc src/adapters/http_call.cc \
  src/adapters/tcp_endpoint.cc src/adapters/guarded_socket.cc \
  src/adapters/body_memory.cc src/adapters/system_sources.cc \
  src/core/connection_relief.cc -lPocoNet -lPocoFoundation -lpthread
