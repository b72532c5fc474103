#include "src/gateway/snapshot_server.h"

#include <boost/beast/http/field.hpp>
#include <limits>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/endpoint_request.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

constexpr double kMillisOfSecond = 1000;
// Requesters are only redirected to hosts whose CPU share is at least this
// fraction of this host's.
constexpr double kMinCpuShareRatio = 0.5;

// Keeps the bytes of a snapshot until they have been sent, then records the end
// of the transfer.
class SnapshotTransfer {
 public:
  SnapshotTransfer(std::shared_ptr<const std::string> bytes,
                   std::shared_ptr<SnapshotAdmission> admission)
      : bytes_(std::move(bytes)), admission_(std::move(admission)) {}
  SnapshotTransfer(const SnapshotTransfer&) = delete;
  SnapshotTransfer& operator=(const SnapshotTransfer&) = delete;
  ~SnapshotTransfer() { admission_->OnTransferEnded(); }

  const std::string* Bytes() const { return bytes_.get(); }

 private:
  std::shared_ptr<const std::string> bytes_;
  std::shared_ptr<SnapshotAdmission> admission_;
};

}  // namespace

SnapshotServer::SnapshotServer(CpuShare cpu_share, Membership* membership,
                               Source source, KnownUpTo known_up_to,
                               Metrics* metrics, MonotonicClock clock)
    : cpu_share_(cpu_share),
      membership_(membership),
      source_(std::move(source)),
      known_up_to_(std::move(known_up_to)),
      metrics_(metrics),
      admission_(
          std::make_shared<SnapshotAdmission>(cpu_share, std::move(clock))) {}

bool SnapshotServer::Serves(std::string_view target) {
  const std::string_view path = kPath;
  return target.substr(0, path.size()) == path;
}

SimpleHttpReply SnapshotServer::Answer(std::string_view target) {
  const auto number =
      ParseInteger(target.substr(std::string_view(kPath).size()));
  const StoreRevision since{static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, number.value_or(0)))};
  const SnapshotDecision decision = admission_->OnRequest(FindPeer());
  if (const auto* redirect = std::get_if<RedirectToPeer>(&decision)) {
    HttpReply reply =
        MakeReply(http_status::kTemporaryRedirect, "text/plain", "");
    reply.set(http::field::location, "http://" + redirect->host.value + kPath +
                                         std::to_string(since.value));
    metrics_->GetCounter("harecrank_gateway_copies_elsewhere_total")->Add();
    return SimpleHttpReply{std::move(reply), nullptr};
  }
  if (const auto* retry = std::get_if<RetryLater>(&decision)) {
    HttpReply reply = MakeReply(http_status::kUnavailable, "text/plain", "");
    reply.set(http::field::retry_after,
              std::to_string(static_cast<double>(retry->delay.count()) /
                             kMillisOfSecond));
    metrics_->GetCounter("harecrank_gateway_copies_later_total")->Add();
    return SimpleHttpReply{std::move(reply), nullptr};
  }
  return Serve(since);
}

SimpleHttpReply SnapshotServer::Serve(StoreRevision since) {
  // SnapshotAdmission has counted this transfer and must learn of its end in
  // any case. A SnapshotTransfer, whose destructor records the end, is
  // therefore created even if this host has no data.
  std::shared_ptr<const std::string> bytes = source_(since);
  if (bytes == nullptr) {
    bytes = std::make_shared<const std::string>();
  }
  const auto transfer =
      std::make_shared<SnapshotTransfer>(std::move(bytes), admission_);
  metrics_->GetCounter("harecrank_gateway_copies_given_total")->Add();
  return SimpleHttpReply{
      MakeReply(http_status::kOk, "application/cbor", ""),
      std::shared_ptr<const std::string>(transfer, transfer->Bytes())};
}

std::optional<HostAddress> SnapshotServer::FindPeer() const {
  const std::uint64_t known = known_up_to_().value;
  if (known == 0) {
    return std::nullopt;
  }
  const RoutingVersion any{std::numeric_limits<std::uint64_t>::max()};
  const auto host =
      membership_->FindMoreUpToDate(any, StoreRevision{known - 1});
  const bool serves =
      host.has_value() && membership_->CpuShareOf(*host).value >=
                              kMinCpuShareRatio * cpu_share_.value;
  return serves ? host : std::nullopt;
}

}  // namespace harecrank
