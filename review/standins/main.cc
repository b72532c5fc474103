// Stand-ins for the cases of the review: the platform's store and servers, and
// clients. Each runs as a process of its own.

#include <signal.h>

#include <CLI/CLI.hpp>
#include <boost/leaf.hpp>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>

#include "platform/testing/stand_in_store.h"
#include "review/standins/client.h"
#include "review/standins/server.h"
#include "src/adapters/http.h"

namespace harecrank::review {
namespace {

sigset_t SignalSet(int signal) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, signal);
  return signals;
}

// Waits for `signal`, which must be blocked.
void WaitFor(int signal) {
  const sigset_t signals = SignalSet(signal);
  int received = 0;
  sigwait(&signals, &received);
}

void Block(int signal) {
  const sigset_t signals = SignalSet(signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void AddStore(CLI::App* app) {
  auto* command = app->add_subcommand("store", "run a store until SIGTERM");
  const auto address = std::make_shared<std::string>();
  command->add_option("--address", *address)->required();
  command->callback([address] {
    Block(SIGTERM);
    const platform::StandInStore store(*address);
    WaitFor(SIGTERM);
    std::quick_exit(0);
  });
}

// Sets an item of the store to the text on standard input, or removes it.
void AddItem(CLI::App* app, int* exit_code) {
  auto* command = app->add_subcommand("item", "change an item of the store");
  const auto address = std::make_shared<std::string>();
  const auto key = std::make_shared<std::string>();
  const auto removes = std::make_shared<bool>(false);
  command->add_option("--store", *address)->required();
  command->add_option("--key", *key)->required();
  command->add_flag("--remove", *removes);
  command->callback([=] {
    HttpCall call;
    call.address = *address;
    call.method = "POST";
    call.path = std::string(*removes ? "/control/remove" : "/control/item") +
                "?key=" + *key;
    if (!*removes) {
      call.body.assign(std::istreambuf_iterator<char>(std::cin), {});
    }
    *exit_code = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
          BOOST_LEAF_CHECK(SendHttpRequest(call));
          return 0;
        },
        [] { return 1; });
  });
}

void AddServer(CLI::App* app) {
  auto* command = app->add_subcommand(
      "server", "run a server; SIGUSR1 begins the time of --unframed-ms");
  const auto options = std::make_shared<ServerOptions>();
  command->add_option("--id", options->id)->required();
  command->add_option("--address", options->address)->required();
  command->add_option("--record", options->record)->required();
  command->add_option("--unframed-share", options->unframed_share);
  command->add_option("--unframed-ms", options->unframed_ms);
  command->callback([options] {
    Block(SIGUSR1);
    ::signal(SIGPIPE, SIG_IGN);
    Server server(*options);
    std::thread([&server] {
      while (true) {
        WaitFor(SIGUSR1);
        server.StartUnframed();
      }
    }).detach();
    server.Run();
  });
}

void AddClients(CLI::App* app) {
  auto* command = app->add_subcommand("clients", "run clients for some time");
  const auto options = std::make_shared<ClientOptions>();
  command->add_option("--name", options->name)->required();
  command->add_option("--gateways", options->gateways)->required();
  command->add_option("--record", options->record)->required();
  command->add_option("--key", options->key)->required();
  command->add_option("--paths", options->paths)->required();
  command->add_option("--clients", options->clients);
  command->add_option("--seconds", options->seconds);
  command->add_option("--pause-ms", options->pause_ms);
  command->callback([options] {
    ::signal(SIGPIPE, SIG_IGN);
    RunClients(*options);
  });
}

int Run(int argc, char** argv) {
  CLI::App app("stand-ins for the cases of the review");
  app.require_subcommand(1);
  int exit_code = 0;
  AddStore(&app);
  AddItem(&app, &exit_code);
  AddServer(&app);
  AddClients(&app);
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}

}  // namespace
}  // namespace harecrank::review

int main(int argc, char** argv) {
  try {
    return harecrank::review::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "review_standins: " << error.what() << "\n";
    return 1;
  }
}
