// The subcommand "load": generates an open-loop load with a mix of prompt
// lengths.

#include <cmath>
#include <fstream>
#include <iostream>
#include <memory>

#include "src/cli/commands.h"
#include "src/cli/load_run.h"

namespace harecrank {

void AddLoadCommand(CLI::App* app, int* exit_code) {
  auto* command = app->add_subcommand(
      "load", "send requests at a steady rate and report percentiles");
  const auto plan = std::make_shared<LoadPlan>();
  const auto json_path = std::make_shared<std::string>();
  command
      ->add_option("--target", plan->targets,
                   "callers' address of an entry host; may be repeated")
      ->required();
  command->add_option("--key", plan->key, "the client account's key")
      ->required();
  command->add_option("--model", plan->model, "the model")->required();
  command->add_option("--rate", plan->rate, "requests a second")
      ->check(CLI::PositiveNumber);
  command->add_option("--seconds", plan->seconds, "how long to send")
      ->check(CLI::PositiveNumber);
  command->add_option("--mix", plan->mix,
                      "TOKENS:SHARE of prompts; may be repeated");
  command->add_option("--answer-tokens", plan->answer_tokens,
                      "tokens asked for in each answer");
  command->add_option("--time-limit-ms", plan->time_limit_ms,
                      "the time limit of each request");
  command->add_flag("--one", plan->single_request, "send a single request");
  command->add_option("--seed", plan->seed, "the seed of arrivals and prompts");
  command->add_option("--threads", plan->threads, "requests at once at most");
  command->add_option("--engine", plan->engine_address,
                      "call the engine stand-in here and not a target");
  command->add_option("--json", *json_path, "write the report here as JSON");
  command->callback([plan, json_path, exit_code] {
    const LoadRunReport report = RunLoad(*plan);
    std::cout << report.text;
    if (!json_path->empty()) {
      std::ofstream(*json_path) << report.json << "\n";
    }
    *exit_code = report.answered > 0 ? kExitOk : kExitFailure;
  });
}

}  // namespace harecrank
