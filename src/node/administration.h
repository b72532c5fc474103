// The administration service of the schema, called over HTTP.

#ifndef HARECRANK_SRC_NODE_ADMINISTRATION_H_
#define HARECRANK_SRC_NODE_ADMINISTRATION_H_

#include <string>

#include "harecrank/core/active_config.h"
#include "src/node/config_feed.h"

namespace harecrank {

// Answers the calls of operators on one node. Implements the schema's
// Administration service.
class AdministrationService : public v1::Administration {
 public:
  // Both pointers must outlive the service.
  AdministrationService(ActiveConfig* active_config, ConfigFeed* feed);

  void Plan(google::protobuf::RpcController* controller,
            const v1::PlanRequest* request, v1::PlanResponse* response,
            google::protobuf::Closure* done) override;
  void Validate(google::protobuf::RpcController* controller,
                const v1::ValidateRequest* request,
                v1::ValidateResponse* response,
                google::protobuf::Closure* done) override;
  void GetInForce(google::protobuf::RpcController* controller,
                  const v1::GetInForceRequest* request,
                  v1::GetInForceResponse* response,
                  google::protobuf::Closure* done) override;
  void Locate(google::protobuf::RpcController* controller,
              const v1::LocateRequest* request, v1::LocateResponse* response,
              google::protobuf::Closure* done) override;

 private:
  ActiveConfig* active_config_;
  ConfigFeed* feed_;
};

// HTTP status code and JSON body of the response to an RPC.
struct RpcResponse {
  int status = 0;
  std::string body;
};

// Calls `method` of `service` with a JSON request. Finds the method by
// reflection on the generated service, so a new method in the schema needs no
// change here.
RpcResponse CallRpc(google::protobuf::Service* service,
                    const std::string& method, const std::string& request_json);

}  // namespace harecrank

#endif  // HARECRANK_SRC_NODE_ADMINISTRATION_H_
