#include "src/entry/dispatcher.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "harecrank/core/http_status.h"
#include "harecrank/core/rendezvous.h"
#include "harecrank/core/ticket_registry.h"
#include "src/entry/group_runner.h"

namespace harecrank {
namespace {

constexpr int kPercent = 100;
constexpr int kDefaultRetryPercent = 10;
constexpr Millis kLinkTimeout{1500};
constexpr Millis kLinkPollInterval{10};
constexpr Millis kTicketTimeout{1000};
constexpr Millis kRetryAfter{1000};
// Number of bytes at the beginning of a prompt that form its prefix. Prompts
// with equal prefixes prefer the same endpoint, whose cache may have the
// prefix.
constexpr std::size_t kPrefixBytes = 2048;
constexpr int kMaxTicketAttempts = 3;
constexpr char kLengthAware[] = "length_aware";

Refusal NoEndpoint() {
  return Refusal{http_status::kUnavailable, "no_endpoint",
                 "no endpoint that serves this can be reached now",
                 Outcome::kNotRun, kRetryAfter};
}

Refusal TicketRejected(const std::string& why) {
  return Refusal{http_status::kBadGateway, "ticket_unknown", why,
                 Outcome::kUnknown, std::nullopt};
}

}  // namespace

Dispatcher::Dispatcher(DispatcherPorts ports, std::string policy_name)
    : ports_(std::move(ports)),
      policy_name_(std::move(policy_name)),
      budget_(kDefaultRetryPercent),
      limiter_(ports_.clock),
      table_(std::make_shared<const EndpointTable>()) {
  Metrics* metrics = ports_.node->GetMetrics();
  rate_limited_ = metrics->GetCounter("harecrank_entry_limited_total");
  retries_ = metrics->GetCounter("harecrank_entry_retries_total");
  resumed_ = metrics->GetCounter("harecrank_entry_resumed_total");
  groups_ = metrics->GetCounter("harecrank_entry_groups_total");
  segments_redone_ =
      metrics->GetCounter("harecrank_entry_segments_redone_total");
}

void Dispatcher::OnConfiguration() {
  const std::lock_guard<std::mutex> lock(table_mutex_);
  const auto configuration = ports_.node->InForce();
  if (configuration == nullptr ||
      configuration->GetRevision() == table_.Load()->GetRevision()) {
    return;
  }
  const NodeSettings& settings = ports_.node->Settings();
  table_.Store(std::make_shared<const EndpointTable>(
      *configuration, settings.node_id, settings.data_centre));
  budget_.SetPercent(static_cast<int>(
      configuration->GetDocument().policy().retry_budget_percent()));
}

std::size_t Dispatcher::LimitedAccounts() {
  const std::lock_guard<std::mutex> lock(limiter_mutex_);
  return limiter_.Count();
}

void Dispatcher::Maintain() {
  ports_.links->Maintain(table_.Load()->AllEndpoints());
}

DispatchResult Dispatcher::Run(const CallerRequest& request, AnswerSink* sink) {
  Context context{request, ports_.node->InForce(), table_.Load(),
                  ports_.clock() + request.time_limit};
  const v1::Policy& policy = context.configuration->GetDocument().policy();
  const Tokens long_from{policy.long_prompt_tokens()};
  context.length = request.prompt_tokens < long_from ? LengthClass::kShort
                                                     : LengthClass::kLong;
  if (auto refusal = CheckLimit(context)) {
    return std::move(*refusal);
  }
  RecordPrefix(&context);
  DispatchResult result = request.ticket.empty() ? RunAttempts(&context, sink)
                                                 : RunTicketed(&context, sink);
  const auto* refusal = std::get_if<Refusal>(&result);
  if (refusal != nullptr && refusal->outcome == Outcome::kNotRun) {
    const std::lock_guard<std::mutex> lock(limiter_mutex_);
    limiter_.Refund(request.account,
                    request.prompt_tokens + request.answer_tokens);
  }
  return result;
}

std::variant<IssuedTicket, Refusal> Dispatcher::IssueTicket(
    const AccountId& account, const ModelId& model,
    const ServiceName& service) {
  CallerRequest request;
  request.account = account;
  request.model = model;
  request.service = service;
  request.form =
      service.value.empty() ? AnswerForm::kCompletion : AnswerForm::kService;
  Context context{request, ports_.node->InForce(), table_.Load(),
                  ports_.clock() + kLinkTimeout};
  const Millis ttl{
      context.configuration->GetDocument().policy().ticket_ttl_ms()};
  for (int i = 0; i < kMaxTicketAttempts; ++i) {
    const auto link = WaitForLink(context, nullptr);
    if (link == nullptr) {
      break;
    }
    const auto inbox = std::make_shared<StreamInbox>();
    const StreamId call = ports_.links->OpenStream(link, inbox);
    const auto answer = CallTicketIssuer(
        link, call, inbox.get(), wire::TicketRequest{call, account, ttl});
    if (answer && !answer->ticket.empty()) {
      return IssuedTicket{answer->ticket, ttl};
    }
    context.tried_endpoints.insert(link->Endpoint());
  }
  return NoEndpoint();
}

Outcome Dispatcher::RevokeTicket(const AccountId& account,
                                 const std::string& text) {
  const auto ticket = ParseTicket(text);
  const auto configuration = ports_.node->InForce();
  const v1::Endpoint* endpoint =
      ticket ? configuration->FindEndpoint(ticket->endpoint) : nullptr;
  if (endpoint == nullptr) {
    return Outcome::kUnknown;
  }
  const auto link = WaitUntilUsable(ticket->endpoint, endpoint->link_address(),
                                    ports_.clock() + kLinkTimeout);
  if (link == nullptr) {
    return Outcome::kUnknown;
  }
  const auto inbox = std::make_shared<StreamInbox>();
  const StreamId call = ports_.links->OpenStream(link, inbox);
  const auto answer = CallTicketIssuer(link, call, inbox.get(),
                                       wire::TicketRevoke{call, account, text});
  return answer ? OutcomeFromName(answer->outcome) : Outcome::kUnknown;
}

std::optional<Refusal> Dispatcher::CheckLimit(const Context& context) {
  const CallerRequest& request = context.request;
  const std::lock_guard<std::mutex> lock(limiter_mutex_);
  const auto wait =
      limiter_.Charge(request.account, request.account_rate,
                      context.configuration->EntryCount(),
                      request.prompt_tokens + request.answer_tokens);
  if (!wait) {
    return std::nullopt;
  }
  rate_limited_->Add();
  return Refusal{http_status::kTooManyRequests, "account_limit",
                 "the account's limit of tokens a second is used up",
                 Outcome::kNotRun, *wait};
}

DispatchResult Dispatcher::RunAttempts(Context* context, AnswerSink* sink) {
  AnswerAssembler assembler;
  AttemptPorts ports{ports_.links, ports_.clock, &assembler, sink};
  RetryPolicy policy(context->request.retry_mode, context->deadline,
                     ports_.clock, &budget_);
  // Minimum number of engines in the group that serves the request; zero if a
  // single engine serves it.
  const std::size_t members = GroupSize(*context);
  while (true) {
    AttemptEvidence evidence;
    AttemptResult result = AttemptEnd{CallerDisconnected{}};
    Answered answered;
    if (members > 0) {
      result = RunGroup(context, members, ports, &evidence, &answered);
    } else {
      const auto link = WaitForLink(*context, sink);
      if (link == nullptr) {
        return policy.LastRefusal().value_or(NoEndpoint());
      }
      answered.endpoint = link->Endpoint();
      result = RunSingleAttempt(context, link, ports, &evidence);
    }
    if (auto* finished = std::get_if<wire::Finished>(&result)) {
      answered.finished = std::move(*finished);
      answered.attempts = policy.Attempts();
      return answered;
    }
    AttemptStep step = policy.Next(std::get<AttemptEnd>(result), evidence);
    if (auto* give_up = std::get_if<GiveUp>(&step)) {
      return std::move(give_up->refusal);
    }
    retries_->Add();
    if (assembler.NextPosition() > 0) {
      resumed_->Add();
    }
  }
}

DispatchResult Dispatcher::RunTicketed(Context* context, AnswerSink* sink) {
  const auto ticket = ParseTicket(context->request.ticket);
  if (!ticket) {
    return Refusal{http_status::kBadRequest, "bad_ticket",
                   "Harecrank-Ticket holds no ticket", Outcome::kNotRun,
                   std::nullopt};
  }
  const v1::Endpoint* endpoint =
      context->configuration->FindEndpoint(ticket->endpoint);
  if (endpoint == nullptr) {
    return TicketRejected("the ticket's endpoint is no longer published");
  }
  const auto link = WaitUntilUsable(
      ticket->endpoint, endpoint->link_address(),
      std::min(context->deadline, ports_.clock() + kLinkTimeout));
  if (link == nullptr) {
    return TicketRejected("the ticket's endpoint cannot be reached");
  }
  AnswerAssembler assembler;
  AttemptPorts ports{ports_.links, ports_.clock, &assembler, sink};
  RetryPolicy policy(RetryMode::kNever, context->deadline, ports_.clock,
                     &budget_);
  AttemptEvidence evidence;
  AttemptResult result = RunSingleAttempt(context, link, ports, &evidence);
  if (auto* finished = std::get_if<wire::Finished>(&result)) {
    return Answered{std::move(*finished), link->Endpoint()};
  }
  const AttemptStep step = policy.Next(std::get<AttemptEnd>(result), evidence);
  return std::get<GiveUp>(step).refusal;
}

AttemptResult Dispatcher::RunGroup(Context* context, std::size_t min_members,
                                   AttemptPorts ports,
                                   AttemptEvidence* evidence,
                                   Answered* answered) {
  groups_->Add();
  GroupPorts group;
  group.attempt = std::move(ports);
  group.random = ports_.random;
  group.is_available = [this](const EndpointId& id) { return IsAvailable(id); };
  group.short_headroom_percent = static_cast<int>(
      context->configuration->GetDocument().policy().short_headroom_percent());
  group.segments_redone = segments_redone_;
  group.min_members = min_members;
  GroupRunner runner(
      std::move(group), context->request,
      context->table->ForGroup(*context->configuration, context->request.model),
      context->deadline);
  AttemptResult result = runner.Run(evidence);
  answered->endpoint = runner.DecodeEndpoint();
  answered->members = runner.MemberCount();
  return result;
}

AttemptResult Dispatcher::RunSingleAttempt(Context* context,
                                           const std::shared_ptr<Link>& link,
                                           AttemptPorts ports,
                                           AttemptEvidence* evidence) {
  context->tried_endpoints.insert(link->Endpoint());
  AttemptTimes times{context->deadline};
  if (!context->request.ticket.empty()) {
    times.acknowledge_timeout = Millis(0);
  }
  const wire::Submit submit = MakeSubmit(*context, *ports.assembler);
  Attempt attempt(std::move(ports), link, times);
  return attempt.Run(submit, context->request.prompt, evidence);
}

wire::Submit Dispatcher::MakeSubmit(const Context& context,
                                    const AnswerAssembler& assembler) const {
  const CallerRequest& request = context.request;
  wire::Submit submit;
  submit.work = request.form == AnswerForm::kService ? wire::Work::kCall
                                                     : wire::Work::kGenerate;
  submit.account = request.account;
  submit.account_weight = request.account_weight;
  submit.model = request.model;
  submit.adapter = request.adapter;
  submit.length = context.length;
  submit.prompt = request.prompt_tokens;
  submit.answer = request.answer_tokens;
  submit.resume_from = assembler.NextPosition();
  submit.ticket = request.ticket;
  submit.method = request.method;
  submit.path = request.path;
  submit.content_type = request.content_type;
  return submit;
}

std::size_t Dispatcher::GroupSize(const Context& context) const {
  const CallerRequest& request = context.request;
  if (request.form == AnswerForm::kService || !request.ticket.empty()) {
    return 0;
  }
  const v1::Policy& policy = context.configuration->GetDocument().policy();
  const Tokens largest = context.configuration->LargestEngine(request.model);
  const Tokens usable{largest.value *
                      (kPercent - policy.short_headroom_percent()) / kPercent};
  const Tokens needed = request.prompt_tokens + request.answer_tokens;
  const std::size_t spread =
      policy_name_ == kLengthAware
          ? PrefillPartCount(request.prompt_tokens, Subset(context).size())
          : 1;
  if (usable < needed) {
    return spread;
  }
  const bool spread_helps = context.length == LengthClass::kLong && spread > 1;
  return spread_helps ? spread : 0;
}

void Dispatcher::RecordPrefix(Context* context) {
  const CallerRequest& request = context->request;
  std::string prefix = request.model.value + " " + request.adapter.value + " " +
                       request.prompt.substr(0, kPrefixBytes);
  if (prefixes_.TestAndInsert(RendezvousWeight("prefix", prefix))) {
    context->warm_prefix = std::move(prefix);
  }
}

const std::vector<SubsetEndpoint>& Dispatcher::Subset(
    const Context& context) const {
  return context.request.form == AnswerForm::kService
             ? context.table->ForService(context.request.service)
             : context.table->ForModel(context.request.model);
}

std::shared_ptr<Link> Dispatcher::Choose(const Context& context) {
  constexpr bool kFar = true;
  auto link = ChooseAmong(context, !kFar);
  return link != nullptr ? link : ChooseAmong(context, kFar);
}

std::shared_ptr<Link> Dispatcher::ChooseAmong(const Context& context,
                                              bool far) {
  std::vector<EndpointView> views;
  std::vector<std::shared_ptr<Link>> links;
  std::vector<std::string> ids;
  for (const SubsetEndpoint& endpoint : Subset(context)) {
    if (endpoint.far != far) {
      continue;
    }
    const auto link = ports_.links->Get(endpoint.id, endpoint.link_address);
    if (context.tried_endpoints.count(endpoint.id) > 0 || !link->IsUsable() ||
        link->IsDraining() || !IsAvailable(endpoint.id)) {
      continue;
    }
    views.push_back(link->View());
    links.push_back(link);
    ids.push_back(endpoint.id.value);
  }
  if (views.empty()) {
    return nullptr;
  }
  const CallerRequest& request = context.request;
  if (!context.warm_prefix.empty()) {
    const std::string warm = RendezvousTop(context.warm_prefix, ids, 1).front();
    for (EndpointView& view : views) {
      view.affinity_rank = view.id.value == warm ? 1 : 0;
    }
  }
  const auto policy = RoutingPolicyFromName(
      policy_name_,
      static_cast<int>(
          context.configuration->GetDocument().policy().long_weight_percent()));
  const auto index = Route(*policy,
                           RouteRequest{context.length, request.prompt_tokens,
                                        request.answer_tokens},
                           views, ports_.random);
  return links[*index];
}

std::shared_ptr<Link> Dispatcher::WaitForLink(const Context& context,
                                              AnswerSink* sink) {
  const TimePoint until =
      std::min(context.deadline, ports_.clock() + kLinkTimeout);
  while (true) {
    if (auto link = Choose(context)) {
      return link;
    }
    // Only the first attempt waits for a link to become usable. After an
    // attempt at another endpoint there is no reason to wait.
    if (!context.tried_endpoints.empty() || ports_.clock() >= until ||
        (sink != nullptr && !sink->OnIdle())) {
      return nullptr;
    }
    std::this_thread::sleep_for(kLinkPollInterval);
  }
}

std::shared_ptr<Link> Dispatcher::WaitUntilUsable(const EndpointId& endpoint,
                                                  const std::string& address,
                                                  TimePoint until) {
  auto link = ports_.links->Get(endpoint, address);
  while (!link->IsUsable()) {
    if (ports_.clock() >= until) {
      return nullptr;
    }
    std::this_thread::sleep_for(kLinkPollInterval);
  }
  return link;
}

bool Dispatcher::IsAvailable(const EndpointId& endpoint) const {
  return !ports_.node->IsLeaving(NodeId{endpoint.value});
}

std::optional<wire::TicketAnswer> Dispatcher::CallTicketIssuer(
    const std::shared_ptr<Link>& link, StreamId stream, StreamInbox* inbox,
    const wire::Message& call_message) {
  std::optional<wire::TicketAnswer> answer;
  if (ports_.links->Send(link, call_message)) {
    const auto event = inbox->Take(ports_.clock() + kTicketTimeout);
    const auto* message = event ? std::get_if<wire::Message>(&*event) : nullptr;
    const auto* typed =
        message != nullptr ? std::get_if<wire::TicketAnswer>(message) : nullptr;
    if (typed != nullptr) {
      answer = *typed;
    }
  }
  ports_.links->CloseStream(link, stream);
  return answer;
}

}  // namespace harecrank
