// The door for callers: HTTP in, HTTP out.

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

// Serves callers on one address.
//
// Each request in hand has a thread. Only so many are taken at once; threads
// beyond them remain to refuse the rest without delay.
class CallerServer {
 public:
  // All must outlive the server.
  CallerServer(const EntrySettings& settings, Node* node,
               Dispatcher* dispatcher, MonotonicClock clock);

  // Begins to listen.
  void Start();

  // From now on every request is refused as not run.
  void Drain() { draining_ = true; }

  // Returns how many requests are in hand.
  int InFlight() const { return in_hand_.load(); }

  void Stop();

 private:
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);
  // Lists the models that the document names.
  void HandleModels(Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response);
  void HandleTicket(Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response);
  void HandleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response);
  void Serve(const CallerRequest& asked, Poco::Net::HTTPServerRequest& request,
             Poco::Net::HTTPServerResponse& response);
  void Refuse(Poco::Net::HTTPServerResponse& response, const Refusal& refusal);
  bool TakePlace();

  EntrySettings settings_;
  Node* node_;
  Dispatcher* dispatcher_;
  MonotonicClock clock_;
  std::atomic<bool> draining_{false};
  std::atomic<int> in_hand_{0};
  Counter* requests_;
  Counter* answered_;
  Counter* refused_;
  DurationHistogram* first_part_short_;
  DurationHistogram* first_part_long_;
  DurationHistogram* gap_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_CALLER_SERVER_H_
