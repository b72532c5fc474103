// The subcommands "admin", "check" and "dump" for operators.

#include <cstdlib>
#include <iostream>
#include <memory>

#include "harecrank/core/configuration.h"
#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"
#include "src/adapters/settings.h"
#include "src/cli/commands.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

constexpr Millis kCallTimeout{30000};
constexpr char kKeyVariable[] = "HARECRANK_OPERATOR_KEY";

// A request of an operator to a node.
struct OperatorCall {
  std::string node;
  std::string key;
  std::string method;
  std::string path;
  std::string body;
};

int MakeCall(const OperatorCall& operator_call) {
  HttpCall call;
  call.address = operator_call.node;
  call.method = operator_call.method;
  call.path = operator_call.path;
  call.body = operator_call.body;
  call.timeout = kCallTimeout;
  call.fields.push_back(
      HttpHeader{"Authorization", "Bearer " + operator_call.key});
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(response, SendHttpRequest(call));
        std::cout << response.body << "\n";
        return response.status == http_status::kOk ? kExitOk : kExitFailure;
      },
      [&](const HttpError& error) {
        std::cerr << "harecrank: " << operator_call.node << ": "
                  << Describe(error) << "\n";
        return kExitUnavailable;
      },
      [] { return kExitUnavailable; });
}

void AddNodeOptions(CLI::App* command, OperatorCall* call) {
  command
      ->add_option("--node", call->node,
                   "operations address of any node, as 10.0.0.1:8101")
      ->required();
  command->add_option("--key", call->key, "the operator's key")
      ->envname(kKeyVariable)
      ->required();
}

int CheckDocument(const std::string& path) {
  std::string text;
  if (!ReadFile(path, &text)) {
    return kExitBadInput;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(configuration, Configuration::Parse(text));
        std::cout << "revision " << configuration->GetRevision().value
                  << ", digest " << configuration->GetDigest().value
                  << ": may come into force\n";
        return kExitOk;
      },
      [&](const ConfigError& error) {
        const auto* invalid = std::get_if<InvalidDocument>(&error);
        if (invalid == nullptr) {
          std::cerr << path << ": " << Describe(error) << "\n";
          return kExitFailure;
        }
        for (const ConfigProblem& problem : invalid->problems) {
          std::cerr << path << ": " << Describe(problem) << "\n";
        }
        return kExitFailure;
      },
      [] { return kExitFailure; });
}

template <typename Parse>
int CheckSettings(const std::string& path, Parse parse) {
  std::string text;
  if (!ReadFile(path, &text)) {
    return kExitBadInput;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_CHECK(parse(text));
        std::cout << path << ": may be used\n";
        return kExitOk;
      },
      [&](const SettingsError& error) {
        std::cerr << path << ": " << Describe(error) << "\n";
        return kExitFailure;
      },
      [] { return kExitFailure; });
}

}  // namespace

void AddAdminCommand(CLI::App* app, int* exit_code) {
  auto* command = app->add_subcommand(
      "admin", "call the administration of a node; nothing is written");
  const auto call = std::make_shared<OperatorCall>();
  const auto method = std::make_shared<std::string>();
  const auto file = std::make_shared<std::string>();
  AddNodeOptions(command, call.get());
  command->add_option("method", *method, "Plan, Validate, GetInForce or Locate")
      ->required();
  command->add_option("--request", call->body, "the request as JSON");
  command->add_option("--request-file", *file, "a file that holds the request");
  command->callback([call, method, file, exit_code] {
    if (!file->empty() && !ReadFile(*file, &call->body)) {
      *exit_code = kExitBadInput;
      return;
    }
    call->method = "POST";
    call->path = "/rpc/harecrank.v1.Administration/" + *method;
    *exit_code = MakeCall(*call);
  });
}

void AddCheckCommand(CLI::App* app, int* exit_code) {
  auto* command = app->add_subcommand(
      "check", "check settings and documents without running anything");
  const auto document = std::make_shared<std::string>();
  const auto entry = std::make_shared<std::string>();
  const auto sidecar = std::make_shared<std::string>();
  const auto gateway = std::make_shared<std::string>();
  command->add_option("--document", *document, "a published configuration");
  command->add_option("--entry", *entry, "settings of an entry host");
  command->add_option("--sidecar", *sidecar, "settings of a sidecar");
  command->add_option("--gateway", *gateway, "settings of a gateway");
  command->require_option(1, 4);
  command->callback([document, entry, sidecar, gateway, exit_code] {
    int highest_code = kExitOk;
    if (!document->empty()) {
      highest_code = std::max(highest_code, CheckDocument(*document));
    }
    if (!entry->empty()) {
      highest_code =
          std::max(highest_code, CheckSettings(*entry, ParseEntrySettings));
    }
    if (!sidecar->empty()) {
      highest_code =
          std::max(highest_code, CheckSettings(*sidecar, ParseSidecarSettings));
    }
    if (!gateway->empty()) {
      highest_code =
          std::max(highest_code, CheckSettings(*gateway, ParseGatewaySettings));
    }
    *exit_code = highest_code;
  });
}

void AddDumpCommand(CLI::App* app, int* exit_code) {
  auto* command =
      app->add_subcommand("dump", "print the whole state of one node as JSON");
  const auto call = std::make_shared<OperatorCall>();
  AddNodeOptions(command, call.get());
  command->callback([call, exit_code] {
    call->method = "GET";
    call->path = "/dump";
    *exit_code = MakeCall(*call);
  });
}

}  // namespace harecrank
