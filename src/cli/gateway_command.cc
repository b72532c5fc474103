#include "src/cli/gateway_command.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <utility>

#include "src/adapters/settings.h"
#include "src/adapters/system_sources.h"
#include "src/cli/commands.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

int RunGateway(GatewaySettings settings, const PlatformAdapters& platform) {
  // A peer that closes a socket is an error to handle, not a reason to die.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    GatewayNode node(std::move(settings), platform, SystemClock(),
                     SystemRandom());
    node.Run();
    return kExitOk;
  } catch (const std::exception& error) {
    std::cerr << "harecrank: cannot start: " << error.what() << "\n";
  }
  return kExitUnavailable;
}

int RunWithSettings(const std::string& path, const PlatformAdapters& platform) {
  std::string text;
  if (!ReadFile(path, &text)) {
    return kExitBadInput;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, ParseGatewaySettings(text));
        return RunGateway(std::move(settings), platform);
      },
      [&](const SettingsError& error) {
        std::cerr << "harecrank: " << path << ": " << Describe(error) << "\n";
        return kExitBadInput;
      },
      [] { return kExitBadInput; });
}

}  // namespace

void AddGatewayCommand(CLI::App* app, int* exit_code,
                       PlatformAdapters platform) {
  auto* command = app->add_subcommand(
      "gateway", "run an entry host that forwards straight to endpoints");
  const auto path = std::make_shared<std::string>();
  command->add_option("--settings", *path, "the settings file")->required();
  command->callback([path, exit_code, platform = std::move(platform)] {
    *exit_code = RunWithSettings(*path, platform);
  });
}

}  // namespace harecrank
