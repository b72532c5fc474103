// HTTP server that receives the callers' requests.

#ifndef HARECRANK_SRC_ENTRY_CALLER_SERVER_H_
#define HARECRANK_SRC_ENTRY_CALLER_SERVER_H_

#include <atomic>
#include <memory>
#include <string>

#include "src/adapters/http.h"
#include "src/adapters/metrics.h"
#include "src/adapters/settings.h"
#include "src/entry/dispatcher.h"

namespace harecrank {

// Receives callers' HTTP requests on one address, has the Dispatcher run them,
// and writes the answers.
//
// Each request in flight occupies a thread. The number of requests in flight is
// limited; additional threads are reserved so that requests over the limit are
// rejected without delay.
class CallerServer {
 public:
  // `node` and `dispatcher` must outlive the server.
  CallerServer(const EntrySettings& settings, Node* node,
               Dispatcher* dispatcher, MonotonicClock clock);

  // Starts to listen.
  void Start();

  // Makes the server reject every later request with outcome kNotRun.
  void Drain() { draining_ = true; }

  // Returns the number of requests in flight.
  int InFlight() const { return in_flight_.load(); }

  void Stop();

 private:
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);
  // Returns the list of the models in the configuration.
  void HandleModels(Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response);
  void HandleTicket(Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response);
  void HandleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response);
  void RunRequest(const CallerRequest& caller_request,
                  Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response);
  void Reject(Poco::Net::HTTPServerResponse& response, const Refusal& refusal);
  bool TryAcquireSlot();

  EntrySettings settings_;
  Node* node_;
  Dispatcher* dispatcher_;
  MonotonicClock clock_;
  std::atomic<bool> draining_{false};
  std::atomic<int> in_flight_{0};
  Counter* requests_;
  Counter* answered_;
  Counter* rejected_;
  Counter* no_memory_;
  BodyMemory body_memory_;
  DurationHistogram* first_part_short_;
  DurationHistogram* first_part_long_;
  DurationHistogram* between_parts_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_CALLER_SERVER_H_
