// The subcommands of the binary.

#ifndef HARECRANK_SRC_CLI_COMMANDS_H_
#define HARECRANK_SRC_CLI_COMMANDS_H_

#include <CLI/CLI.hpp>
#include <string>

namespace harecrank {

// Exit codes of the process.
constexpr int kExitOk = 0;
// The command ran, but a check failed or a call was rejected.
constexpr int kExitFailure = 1;
// The command line is wrong.
constexpr int kExitUsage = 2;
// Settings or files are unreadable or invalid.
constexpr int kExitBadInput = 3;
// A service could not be reached, or an address could not be bound.
constexpr int kExitUnavailable = 4;

constexpr char kExitCodeHelp[] =
    "exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 "
    "unusable settings or files, 4 not reachable";

// Each function adds one subcommand to `app`. The subcommand runs while `app`
// parses the command line, and sets `exit_code`.
void AddEntryCommand(CLI::App* app, int* exit_code);
void AddSidecarCommand(CLI::App* app, int* exit_code);
void AddAdminCommand(CLI::App* app, int* exit_code);
void AddCheckCommand(CLI::App* app, int* exit_code);
void AddDumpCommand(CLI::App* app, int* exit_code);
void AddLoadCommand(CLI::App* app, int* exit_code);
void AddExplainCommand(CLI::App* app, int* exit_code);

// Reads a whole file. On failure, prints the reason to standard error and
// returns false.
bool ReadFile(const std::string& path, std::string* text);

// Blocks SIGTERM and SIGINT in the calling thread and in threads that it starts
// later, and ignores SIGPIPE. Must be called before any thread is started.
void BlockStopSignals();

// Waits for SIGTERM or SIGINT, which must be blocked in all threads.
void WaitForStopSignal();

}  // namespace harecrank

#endif  // HARECRANK_SRC_CLI_COMMANDS_H_
