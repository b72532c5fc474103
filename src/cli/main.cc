// The entry point of the harecrank binary.

#include <CLI/CLI.hpp>

#include "platform/gateway_command.h"
#include "src/cli/commands.h"

namespace {

int Run(int argc, char** argv) {
  CLI::App app(
      "harecrank serves language-model prompts of very unlike lengths");
  app.set_version_flag("--version", std::string(HARECRANK_VERSION));
  app.require_subcommand(1);
  app.footer(harecrank::kExitCodeHelp);
  int exit_code = harecrank::kExitOk;
  harecrank::AddEntryCommand(&app, &exit_code);
  harecrank::platform::AddGatewayCommand(&app, &exit_code);
  harecrank::AddSidecarCommand(&app, &exit_code);
  harecrank::AddAdminCommand(&app, &exit_code);
  harecrank::AddCheckCommand(&app, &exit_code);
  harecrank::AddDumpCommand(&app, &exit_code);
  harecrank::AddLoadCommand(&app, &exit_code);
  harecrank::AddExplainCommand(&app, &exit_code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? harecrank::kExitOk : harecrank::kExitUsage;
  }
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (...) {
    return harecrank::kExitUnavailable;
  }
}
