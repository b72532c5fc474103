#include "src/cli/gateway_command.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <utility>

#include "src/adapters/allocator.h"
#include "src/adapters/settings.h"
#include "src/adapters/system_sources.h"
#include "src/cli/commands.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

// Reads and validates the settings. On failure, prints the reason to standard
// error and returns nothing.
std::optional<GatewaySettings> ReadSettings(const std::string& path) {
  std::string text;
  if (!ReadFile(path, &text)) {
    return std::nullopt;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<GatewaySettings>> {
        BOOST_LEAF_AUTO(settings, ParseGatewaySettings(text));
        return std::make_optional(std::move(settings));
      },
      [&](const SettingsError& error) -> std::optional<GatewaySettings> {
        std::cerr << "harecrank: " << path << ": " << Describe(error) << "\n";
        return std::nullopt;
      },
      [&]() -> std::optional<GatewaySettings> {
        std::cerr << "harecrank: " << path << ": cannot be read\n";
        return std::nullopt;
      });
}

int RunGateway(const std::string& path, const PlatformAdapters& platform) {
  // Writing to a closed socket must return an error instead of raising SIGPIPE,
  // which would end the process.
  std::signal(SIGPIPE, SIG_IGN);
  ReturnLargeBlocksToSystem();
  std::optional<GatewaySettings> settings = ReadSettings(path);
  if (!settings.has_value()) {
    return kExitBadInput;
  }
  try {
    GatewayNode node(
        *std::move(settings), [path] { return ReadSettings(path); }, platform,
        SystemClock(), SystemRandom());
    node.Run();
    return kExitOk;
  } catch (const std::exception& error) {
    std::cerr << "harecrank: cannot start: " << error.what() << "\n";
  }
  return kExitUnavailable;
}

}  // namespace

void AddGatewayCommand(CLI::App* app, int* exit_code,
                       PlatformAdapters platform) {
  auto* command = app->add_subcommand(
      "gateway", "run an entry host that forwards straight to endpoints");
  const auto path = std::make_shared<std::string>();
  command->add_option("--settings", *path, "the settings file")->required();
  command->callback([path, exit_code, platform = std::move(platform)] {
    *exit_code = RunGateway(*path, platform);
  });
}

}  // namespace harecrank
