// "gateway": the entry host's process that forwards straight to endpoints.

#ifndef HARECRANK_SRC_CLI_GATEWAY_COMMAND_H_
#define HARECRANK_SRC_CLI_GATEWAY_COMMAND_H_

#include <CLI/CLI.hpp>

#include "src/gateway/gateway_node.h"

namespace harecrank {

// Adds the subcommand, for the platform that `platform` speaks to.
void AddGatewayCommand(CLI::App* app, int* exit_code,
                       PlatformAdapters platform);

}  // namespace harecrank

#endif  // HARECRANK_SRC_CLI_GATEWAY_COMMAND_H_
