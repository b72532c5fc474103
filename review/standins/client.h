// A stand-in of the platform's clients.

#ifndef HARECRANK_REVIEW_STANDINS_CLIENT_H_
#define HARECRANK_REVIEW_STANDINS_CLIENT_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "review/standins/record.h"
#include "src/gateway/protocol_names.h"

namespace harecrank::review {

struct ClientOptions {
  // Begins the ids of the requests.
  std::string name;
  // Addresses at which the gateways take clients' connections.
  std::vector<std::string> gateways;
  std::string record;
  // API key.
  std::string key;
  // Path prefixes of the requests, which take turns.
  std::vector<std::string> paths;
  int clients = 1;
  int seconds = 1;
  // Pause between the answer to a request and the next request.
  int pause_ms = 0;
};

// One client. It sends one request at a time over a channel that it keeps, and
// records what it sends and how it is answered.
class Client {
 public:
  // `number` distinguishes the clients of `options`, and chooses the gateway.
  Client(const ClientOptions& options, int number);

  // Sends requests until `end`.
  void Run(std::chrono::steady_clock::time_point end);

 private:
  void SendOne(const std::string& path);
  // Returns the text of a request without a body.
  std::string RequestText(const std::string& id, const std::string& path) const;
  // Reads the answer and records whether it is whole.
  void ReadAnswer(const std::string& id, const std::string& path);
  // Returns what the record tells of an answer's body: "whole" if it is all
  // that the server gives, or how it differs.
  std::string Compare(const std::string& id, const std::string& path,
                      const std::string& body) const;

  const ClientOptions& options_;
  int number_;
  ProtocolNames names_;
  Record record_;
  boost::asio::io_context io_;
  // Null while no channel is open.
  std::unique_ptr<boost::beast::tcp_stream> channel_;
  boost::beast::flat_buffer buffer_;
  int sent_ = 0;
};

// Runs all clients of `options` and returns when the last one has ended.
void RunClients(const ClientOptions& options);

}  // namespace harecrank::review

#endif  // HARECRANK_REVIEW_STANDINS_CLIENT_H_
