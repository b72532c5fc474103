// Plans a change of configuration: nothing is written, the operator publishes.

#ifndef HARECRANK_CORE_CHANGE_PLANNER_H_
#define HARECRANK_CORE_CHANGE_PLANNER_H_

#include <boost/leaf.hpp>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/configuration.h"

namespace harecrank {

// Why a change cannot be planned.
struct StaleBase {
  Revision asked;
  Revision in_force;
};
struct EmptyChange {};
struct UnknownObject {
  std::string kind;
  std::string id;
};
struct InvalidPlan {
  std::vector<ConfigProblem> problems;
};
using PlanError =
    std::variant<StaleBase, EmptyChange, UnknownObject, InvalidPlan>;

// Returns one sentence for a person.
std::string Describe(const PlanError& error);

// Returns the values to publish so that `request` comes into force on top of
// `base`, with `recent` as the changes already published. `base` may be null
// only for a request that replaces the whole document.
boost::leaf::result<v1::PlanResponse> PlanChange(
    const Configuration* base, const v1::ChangeLog& recent,
    const v1::PlanRequest& request);

// How many changes are published beside the document.
constexpr int kMaxPublishedChanges = 8;

}  // namespace harecrank

#endif  // HARECRANK_CORE_CHANGE_PLANNER_H_
