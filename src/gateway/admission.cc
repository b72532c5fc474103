#include "src/gateway/admission.h"

#include <algorithm>

#include "harecrank/core/http_status.h"
#include "src/gateway/endpoint_request.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

// Larger than any prompt or answer, and small enough for sums and squares.
constexpr std::int64_t kMaxTokens = 1000000000;

Tokens ClampTokens(std::int64_t tokens) {
  return Tokens{std::clamp<std::int64_t>(tokens, 0, kMaxTokens)};
}

// Result of one admission step: a rejection, or nothing if the request passes.
using StepResult = std::optional<Rejection>;

// Performs the admission steps for one request and records their results in an
// AdmittedRequest.
class AdmissionCheck {
 public:
  AdmissionCheck(const GatewayServices& services, const CallerRequest& request,
                 TimePoint arrived, AdmittedRequest* admitted)
      : services_(services),
        request_(request),
        arrived_(arrived),
        admitted_(admitted) {}

  StepResult FindRoute() {
    admitted_->table = services_.routing->InForce();
    if (admitted_->table == nullptr) {
      return Rejection{http_status::kUnavailable, "no_configuration",
                       kRetryAfterRejection};
    }
    const std::string_view target = View(request_.target());
    const RouteRule* route = admitted_->table->FindRoute(
        View(request_[http::field::host]), PathOf(target));
    if (route == nullptr) {
      return Rejection{http_status::kNotFound, "no_route", std::nullopt};
    }
    admitted_->route = route;
    Millis time_limit = route->timeout;
    const auto requested =
        ParseInteger(View(request_[services_.names->time_left]));
    if (requested.has_value()) {
      time_limit = std::clamp(Millis(*requested), Millis(0), time_limit);
    }
    admitted_->deadline = arrived_ + time_limit;
    return std::nullopt;
  }

  StepResult Authenticate() {
    if (!admitted_->table->NeedsKeys()) {
      return std::nullopt;
    }
    const std::string key =
        BearerKey(View(request_[http::field::authorization]));
    admitted_->account = admitted_->table->FindAccountByKey(key);
    const bool is_public = admitted_->route->is_public;
    admitted_->strip_key = !is_public || admitted_->account != nullptr;
    if (admitted_->account == nullptr && !is_public) {
      return Rejection{http_status::kUnauthorised, "unknown_key", std::nullopt};
    }
    return std::nullopt;
  }

  StepResult FitBeforeStop() {
    const std::optional<TimePoint> stop = services_.stops_at();
    if (!stop.has_value()) {
      return std::nullopt;
    }
    if (admitted_->route->kind == RequestKind::kStreaming) {
      // The duration of a stream is unknown, and it would be interrupted if
      // this host stopped before its end.
      return Rejection{http_status::kUnavailable, "stopping", kRetryElsewhere};
    }
    admitted_->deadline = std::min(admitted_->deadline, *stop);
    return std::nullopt;
  }

  StepResult ChooseService() {
    ParseTokenCounts();
    admitted_->service = PickWeightedService();
    if (admitted_->service == nullptr) {
      return Rejection{http_status::kUnavailable, "no_service",
                       kRetryAfterRejection};
    }
    admitted_->placement.service = admitted_->service;
    admitted_->placement.tightest_gap =
        admitted_->table->TightestGap(admitted_->service->name);
    return std::nullopt;
  }

 private:
  void ParseTokenCounts() {
    PlacementRequest& placement = admitted_->placement;
    placement.target_latency = admitted_->route->target_latency;
    placement.target_gap = admitted_->route->target_gap;
    placement.may_repeat = admitted_->route->MayRepeat();
    const std::string_view counts =
        View(request_[services_.names->token_counts]);
    placement.prompt = ClampTokens(ParseInteger(counts).value_or(0));
    const std::size_t comma = counts.find(',');
    std::int64_t answer = 0;
    if (comma != std::string_view::npos) {
      answer = ParseInteger(counts.substr(comma + 1)).value_or(0);
    }
    const auto guess =
        ParseInteger(View(request_[services_.names->answer_guess]));
    if (guess.has_value()) {
      answer = answer > 0 ? std::min(answer, *guess) : *guess;
    }
    placement.answer = ClampTokens(answer);
  }

  const ServiceProfile* PickWeightedService() const {
    std::uint64_t total = 0;
    for (const WeightedService& target : admitted_->route->services) {
      total += target.weight;
    }
    if (total == 0) {
      return nullptr;
    }
    std::uint64_t pick = services_.random() % total;
    for (const WeightedService& target : admitted_->route->services) {
      if (pick < target.weight) {
        return admitted_->table->FindService(target.service);
      }
      pick -= target.weight;
    }
    return nullptr;
  }

  const GatewayServices& services_;
  const CallerRequest& request_;
  TimePoint arrived_;
  AdmittedRequest* admitted_;
};

}  // namespace

AdmittedRequest Admit(const GatewayServices& services,
                      const CallerRequest& request, TimePoint arrived) {
  AdmittedRequest admitted;
  AdmissionCheck check(services, request, arrived, &admitted);
  using Step = StepResult (AdmissionCheck::*)();
  for (const Step step :
       {&AdmissionCheck::FindRoute, &AdmissionCheck::Authenticate,
        &AdmissionCheck::FitBeforeStop, &AdmissionCheck::ChooseService}) {
    admitted.rejection = (check.*step)();
    if (admitted.rejection.has_value()) {
      break;
    }
  }
  return admitted;
}

}  // namespace harecrank
