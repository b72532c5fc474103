#include "harecrank/core/change_planner.h"

#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>

#include <utility>

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using google::protobuf::util::MessageDifferencer;

struct Describer {
  std::string operator()(const StaleBase& error) const {
    return "the plan starts from revision " +
           std::to_string(error.requested.value) + " but revision " +
           std::to_string(error.in_force.value) +
           " is in force; look again and plan anew";
  }
  std::string operator()(const EmptyChange&) const {
    return "the request names no change, or one that changes nothing";
  }
  std::string operator()(const UnknownObject& error) const {
    return "there is no " + error.kind + " called '" + error.id + "'";
  }
  std::string operator()(const InvalidPlan& error) const {
    return Describe(ConfigError{InvalidDocument{error.problems}});
  }
};

template <typename Map>
leaf::result<void> EraseObject(Map* map, const std::string& kind,
                               const std::string& id) {
  if (map->erase(id) == 0) {
    return leaf::new_error(PlanError{UnknownObject{kind, id}});
  }
  return {};
}

leaf::result<void> RemoveObject(const v1::Remove& remove,
                                v1::Document* document) {
  switch (remove.kind()) {
    case v1::Remove::ACCOUNT:
      return EraseObject(document->mutable_accounts(), "account", remove.id());
    case v1::Remove::MODEL:
      return EraseObject(document->mutable_models(), "model", remove.id());
    case v1::Remove::ENDPOINT:
      return EraseObject(document->mutable_endpoints(), "endpoint",
                         remove.id());
    case v1::Remove::ENTRY:
      return EraseObject(document->mutable_entries(), "entry host",
                         remove.id());
    default:
      return leaf::new_error(PlanError{EmptyChange{}});
  }
}

// Applies the change that `request` names to `document`.
leaf::result<void> ApplyRequest(const v1::PlanRequest& request,
                                v1::Document* document) {
  switch (request.change_case()) {
    case v1::PlanRequest::kPutAccount:
      (*document->mutable_accounts())[request.put_account().id()] =
          request.put_account().account();
      return {};
    case v1::PlanRequest::kPutModel:
      (*document->mutable_models())[request.put_model().id()] =
          request.put_model().model();
      return {};
    case v1::PlanRequest::kPutEndpoint:
      (*document->mutable_endpoints())[request.put_endpoint().id()] =
          request.put_endpoint().endpoint();
      return {};
    case v1::PlanRequest::kPutEntry:
      (*document->mutable_entries())[request.put_entry().id()] =
          request.put_entry().entry();
      return {};
    case v1::PlanRequest::kPutPolicy:
      *document->mutable_policy() = request.put_policy();
      return {};
    case v1::PlanRequest::kRemove:
      return RemoveObject(request.remove(), document);
    case v1::PlanRequest::kReplace:
      *document = request.replace();
      return {};
    case v1::PlanRequest::CHANGE_NOT_SET:
      break;
  }
  return leaf::new_error(PlanError{EmptyChange{}});
}

// Adds one sentence to the response for each kind of object whose number
// changes, for each endpoint whose leaving mark is set or cleared, and for a
// change of the policy.
void DescribeEffects(const v1::Document& before, const v1::Document& after,
                     v1::PlanResponse* response) {
  const auto add_count = [&](const std::string& kind, std::size_t old_count,
                             std::size_t new_count) {
    if (old_count != new_count) {
      response->add_effects(kind + ": " + std::to_string(old_count) +
                            " before, " + std::to_string(new_count) + " after");
    }
  };
  add_count("client accounts", before.accounts().size(),
            after.accounts().size());
  add_count("models", before.models().size(), after.models().size());
  add_count("endpoints", before.endpoints().size(), after.endpoints().size());
  add_count("entry hosts", before.entries().size(), after.entries().size());
  for (const auto& [id, endpoint] : after.endpoints()) {
    const auto earlier = before.endpoints().find(id);
    const bool was_leaving =
        earlier != before.endpoints().end() && earlier->second.leaving();
    if (endpoint.leaving() && !was_leaving) {
      response->add_effects("endpoint " + id + " gets no new work");
    }
    if (!endpoint.leaving() && was_leaving) {
      response->add_effects("endpoint " + id + " takes work again");
    }
  }
  if (!MessageDifferencer::Equals(before.policy(), after.policy())) {
    response->add_effects("the policy changes");
  }
}

// Returns as JSON the latest of the `recent` changes followed by `change`, at
// most kMaxPublishedChanges in total.
std::string PublishedChangesJson(const v1::ChangeLog& recent,
                                 const v1::Change& change) {
  v1::ChangeLog log;
  const int kept = std::min(recent.changes_size(), kMaxPublishedChanges - 1);
  for (int i = recent.changes_size() - kept; i < recent.changes_size(); ++i) {
    *log.add_changes() = recent.changes(i);
  }
  *log.add_changes() = change;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  const auto status =
      google::protobuf::util::MessageToJsonString(log, &text, options);
  return status.ok() ? text : std::string("{}");
}

// Validates `document` and makes a configuration of it.
leaf::result<std::shared_ptr<const Configuration>> MakeConfiguration(
    const v1::Document& document) {
  std::vector<ConfigProblem> problems = ValidateDocument(document);
  if (!problems.empty()) {
    return leaf::new_error(PlanError{InvalidPlan{std::move(problems)}});
  }
  std::string text;
  const auto status =
      google::protobuf::util::MessageToJsonString(document, &text);
  if (!status.ok()) {
    return leaf::new_error(PlanError{EmptyChange{}});
  }
  return Configuration::Parse(text);
}

}  // namespace

std::string Describe(const PlanError& error) {
  return std::visit(Describer{}, error);
}

leaf::result<v1::PlanResponse> PlanChange(const Configuration* base,
                                          const v1::ChangeLog& recent,
                                          const v1::PlanRequest& request) {
  const Revision in_force = base == nullptr ? Revision{} : base->GetRevision();
  if (request.base_revision() != 0 &&
      request.base_revision() != in_force.value) {
    return leaf::new_error(
        PlanError{StaleBase{Revision{request.base_revision()}, in_force}});
  }
  const v1::Document before =
      base == nullptr ? v1::Document() : base->GetDocument();
  v1::Document after = before;
  BOOST_LEAF_CHECK(ApplyRequest(request, &after));
  after.set_revision(in_force.value);
  if (base != nullptr && MessageDifferencer::Equals(before, after)) {
    return leaf::new_error(PlanError{EmptyChange{}});
  }
  after.set_revision(in_force.value + 1);
  BOOST_LEAF_AUTO(next, MakeConfiguration(after));
  v1::PlanResponse response;
  response.set_revision(next->GetRevision().value);
  response.set_digest(next->GetDigest().value);
  response.set_document_json(next->CanonicalJson());
  const v1::Change change =
      base == nullptr ? v1::Change() : base->ChangeTo(*next);
  response.set_changes_json(base == nullptr
                                ? std::string("{\"changes\":[]}")
                                : PublishedChangesJson(recent, change));
  DescribeEffects(before, after, &response);
  return response;
}

}  // namespace harecrank
