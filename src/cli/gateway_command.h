// The subcommand "gateway": an entry host that forwards requests directly to
// endpoints.

#ifndef HARECRANK_SRC_CLI_GATEWAY_COMMAND_H_
#define HARECRANK_SRC_CLI_GATEWAY_COMMAND_H_

#include <CLI/CLI.hpp>

#include "src/gateway/gateway_node.h"

namespace harecrank {

// Adds the subcommand to `app`. `platform` adapts the gateway to the platform's
// services.
void AddGatewayCommand(CLI::App* app, int* exit_code,
                       PlatformAdapters platform);

}  // namespace harecrank

#endif  // HARECRANK_SRC_CLI_GATEWAY_COMMAND_H_
