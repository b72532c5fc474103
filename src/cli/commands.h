// The subcommands of the binary.

#ifndef HARECRANK_SRC_CLI_COMMANDS_H_
#define HARECRANK_SRC_CLI_COMMANDS_H_

#include <CLI/CLI.hpp>
#include <string>

namespace harecrank {

// What the process tells its caller.
constexpr int kExitOk = 0;
// The command ran and the answer is no: a check failed, a call was refused.
constexpr int kExitFailure = 1;
// The command line is wrong.
constexpr int kExitUsage = 2;
// Settings or files cannot be used.
constexpr int kExitBadInput = 3;
// Something outside could not be reached, or an address cannot be had.
constexpr int kExitUnavailable = 4;

constexpr char kExitCodeHelp[] =
    "exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 "
    "unusable settings or files, 4 not reachable";

// Each adds one subcommand. When it is parsed it runs, and sets `exit_code`.
void AddEntryCommand(CLI::App* app, int* exit_code);
void AddSidecarCommand(CLI::App* app, int* exit_code);
void AddAdminCommand(CLI::App* app, int* exit_code);
void AddCheckCommand(CLI::App* app, int* exit_code);
void AddDumpCommand(CLI::App* app, int* exit_code);
void AddLoadCommand(CLI::App* app, int* exit_code);
void AddExplainCommand(CLI::App* app, int* exit_code);

// Reads a whole file. Returns false, and says why on standard error, if that
// cannot be done.
bool ReadFile(const std::string& path, std::string* text);

// Waits for SIGTERM or SIGINT. All threads must have them blocked: call
// BlockStopSignals first, before any thread begins.
void BlockStopSignals();
void WaitForStopSignal();

}  // namespace harecrank

#endif  // HARECRANK_SRC_CLI_COMMANDS_H_
