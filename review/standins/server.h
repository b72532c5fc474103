// A stand-in of one of the platform's servers.

#ifndef HARECRANK_REVIEW_STANDINS_SERVER_H_
#define HARECRANK_REVIEW_STANDINS_SERVER_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <mutex>
#include <string>

#include "review/standins/record.h"
#include "src/gateway/protocol_names.h"

namespace harecrank::review {

struct ServerOptions {
  std::string id;
  // IP address and port.
  std::string address;
  std::string record;
  // Share of its answers that the server gives without a length, so that they
  // end with their connection. It does so for `unframed_ms` after
  // StartUnframed.
  double unframed_share = 0;
  int unframed_ms = 0;
};

// Runs each request that it is sent, one at a time on a connection, and records
// what it runs. Answers plain requests and streams by answers.h.
class Server {
 public:
  explicit Server(ServerOptions options);

  // Serves until the process ends.
  void Run();

  // Begins the time in which some answers have no length.
  void StartUnframed();

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  void Serve(Socket socket);
  // Sends the answer. Returns whether the connection stays open.
  bool Answer(const Request& request, Socket* socket);
  bool AnswerPlain(const Request& request, bool unframed, Socket* socket);
  bool AnswerStream(const Request& request, bool unframed, Socket* socket);
  // Refuses a request for another server.
  bool Misdirected(const Request& request, Socket* socket);
  // Decides whether the next answer has no length. Only long answers are
  // chosen, and never more than the share of all answers.
  bool TakeUnframed(bool is_long);
  std::string Head(const Request& request, const std::string& fields) const;

  ServerOptions options_;
  ProtocolNames names_;
  Record record_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point unframed_until_{};
  int answers_ = 0;
  int unframed_answers_ = 0;
};

}  // namespace harecrank::review

#endif  // HARECRANK_REVIEW_STANDINS_SERVER_H_
