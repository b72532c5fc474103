// A model engine over HTTP, as the stand-in offers it.

#ifndef HARECRANK_SRC_SIDECAR_HTTP_ENGINE_H_
#define HARECRANK_SRC_SIDECAR_HTTP_ENGINE_H_

#include <string>

#include "src/sidecar/engine_port.h"

namespace harecrank {

// Speaks to the engine at one address. Answers come as lines of JSON.
class HttpEngine : public EnginePort {
 public:
  explicit HttpEngine(std::string address);

  boost::leaf::result<std::int64_t> Generate(const EngineRequest& request,
                                             const OnAccepted& on_taken,
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
