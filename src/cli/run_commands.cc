// The subcommands "entry" and "sidecar", which run the server processes.

#include <Poco/Exception.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "src/adapters/allocator.h"
#include "src/adapters/logging.h"
#include "src/adapters/settings.h"
#include "src/adapters/system_sources.h"
#include "src/cli/commands.h"
#include "src/entry/entry_node.h"
#include "src/sidecar/sidecar_node.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Starts a node, waits for a stop signal, and drains and stops the node.
template <typename NodeType, typename Settings>
int RunNode(const Settings& settings, const char* role) {
  ReturnLargeBlocksToSystem();
  ConfigureLogging(settings.node.log_level);
  const auto log = GetLog("main");
  BlockStopSignals();
  try {
    NodeType node(settings, SystemClock(), SystemRandom());
    node.Start();
    LOG4CXX_INFO(log, role << " " << settings.node.node_id.value << " started");
    WaitForStopSignal();
    LOG4CXX_INFO(log, role << " is draining");
    node.DrainAndStop();
    LOG4CXX_INFO(log, role << " stopped");
    return kExitOk;
  } catch (const Poco::Exception& error) {
    std::cerr << "harecrank: cannot start: " << error.displayText() << "\n";
  } catch (const std::exception& error) {
    std::cerr << "harecrank: cannot start: " << error.what() << "\n";
  }
  return kExitUnavailable;
}

// Reads the settings file at `path`, parses it with `parse` and passes the
// settings to `run`. Returns the exit code.
template <typename Parse, typename Run>
int WithSettings(const std::string& path, Parse parse, Run run) {
  std::string text;
  if (!ReadFile(path, &text)) {
    return kExitBadInput;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, parse(text));
        return run(settings);
      },
      [&](const SettingsError& error) {
        std::cerr << "harecrank: " << path << ": " << Describe(error) << "\n";
        return kExitBadInput;
      },
      [] { return kExitBadInput; });
}

}  // namespace

void AddEntryCommand(CLI::App* app, int* exit_code) {
  auto* command = app->add_subcommand("entry", "run an entry host's process");
  const auto path = std::make_shared<std::string>();
  command->add_option("--settings", *path, "the settings file")->required();
  command->callback([path, exit_code] {
    *exit_code = WithSettings(
        *path, ParseEntrySettings,
        [](const EntrySettings& s) { return RunNode<EntryNode>(s, "entry"); });
  });
}

void AddSidecarCommand(CLI::App* app, int* exit_code) {
  auto* command =
      app->add_subcommand("sidecar", "run the process beside one endpoint");
  const auto path = std::make_shared<std::string>();
  command->add_option("--settings", *path, "the settings file")->required();
  command->callback([path, exit_code] {
    *exit_code =
        WithSettings(*path, ParseSidecarSettings, [](const SidecarSettings& s) {
          return RunNode<SidecarNode>(s, "sidecar");
        });
  });
}

bool ReadFile(const std::string& path, std::string* text) {
  const std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << "harecrank: cannot read the file " << path << "\n";
    return false;
  }
  std::ostringstream content;
  content << file.rdbuf();
  *text = content.str();
  return true;
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a closed socket must return an error instead of raising SIGPIPE,
  // which would end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace harecrank
