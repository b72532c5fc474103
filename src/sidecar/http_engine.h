// Client of a model engine that is called over HTTP.

#ifndef HARECRANK_SRC_SIDECAR_HTTP_ENGINE_H_
#define HARECRANK_SRC_SIDECAR_HTTP_ENGINE_H_

#include <string>

#include "src/sidecar/engine_port.h"

namespace harecrank {

// Calls the engine at one address by HTTP requests. The engine sends each
// generated token as a line of JSON.
class HttpEngine : public EnginePort {
 public:
  explicit HttpEngine(std::string address);

  boost::leaf::result<std::int64_t> Generate(const EngineRequest& request,
                                             const OnAccepted& on_accepted,
                                             const OnToken& on_token) override;
  boost::leaf::result<void> Prefill(const EngineRequest& request) override;
  boost::leaf::result<void> Cancel(const AllocationId& id) override;
  boost::leaf::result<EngineStatus> GetStatus() override;
  boost::leaf::result<void> Order(const EngineOrder& order,
                                  Revision fence) override;

 private:
  std::string address_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_SIDECAR_HTTP_ENGINE_H_
