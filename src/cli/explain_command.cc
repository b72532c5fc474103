// The subcommand "explain": prints the timeline of one request from collected
// logs.

#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

#include "src/cli/commands.h"
#include "src/cli/explain.h"

namespace harecrank {
namespace {

struct ExplainOptions {
  std::string request;
  std::vector<std::string> files;
  bool as_json = false;
};

int Explain(const ExplainOptions& options) {
  RequestTimeline timeline;
  if (options.files.empty()) {
    ReadTimeline(&std::cin, options.request, &timeline);
  }
  for (const std::string& path : options.files) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "harecrank: cannot read the file " << path << "\n";
      return kExitBadInput;
    }
    ReadTimeline(&file, options.request, &timeline);
  }
  FinalizeTimeline(options.request, &timeline);
  if (options.as_json) {
    std::cout << nlohmann::json{{"lines", timeline.lines},
                                {"unreadable", timeline.unreadable},
                                {"left_out", timeline.left_out}}
                     .dump(2)
              << "\n";
  } else {
    std::cout << FormatTimeline(options.request, timeline);
  }
  return timeline.lines.empty() ? kExitFailure : kExitOk;
}

}  // namespace

void AddExplainCommand(CLI::App* app, int* exit_code) {
  auto* command = app->add_subcommand(
      "explain", "tell one request's story from the processes' logs");
  const auto options = std::make_shared<ExplainOptions>();
  command->add_option("request", options->request, "the request's id")
      ->required();
  command->add_option("files", options->files,
                      "log files; standard input if there are none");
  command->add_flag("--json", options->as_json, "print JSON");
  command->callback([options, exit_code] { *exit_code = Explain(*options); });
}

}  // namespace harecrank
