// Plans changes of the configuration for operators. Planning does not change
// the active configuration: the operator publishes the planned values.

#ifndef HARECRANK_CORE_CHANGE_PLANNER_H_
#define HARECRANK_CORE_CHANGE_PLANNER_H_

#include <boost/leaf.hpp>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/configuration.h"

namespace harecrank {

// Planning failed: the active configuration is not the base of the request.
struct StaleBase {
  Revision requested;
  Revision in_force;
};
// Planning failed: the request names no change, or a change without effect.
struct EmptyChange {};
// Planning failed: the object to remove does not exist.
struct UnknownObject {
  std::string kind;
  std::string id;
};
// Planning failed: the planned document is invalid.
struct InvalidPlan {
  std::vector<ConfigProblem> problems;
};
// Why planning failed.
using PlanError =
    std::variant<StaleBase, EmptyChange, UnknownObject, InvalidPlan>;

// Returns a description of `error` for operators.
std::string Describe(const PlanError& error);

// Returns the values that the operator must publish to apply `request` to
// `base`. `recent` are the changes up to `base`, oldest first. `base` may be
// null only if `request` replaces the whole document. Fails with PlanError, or
// with ConfigError if the planned document cannot be parsed.
boost::leaf::result<v1::PlanResponse> PlanChange(
    const Configuration* base, const v1::ChangeLog& recent,
    const v1::PlanRequest& request);

// Maximum number of changes that are published along with the document: the
// planned change and the latest earlier ones. A host that lags too far to apply
// them reads the whole document.
constexpr int kMaxPublishedChanges = 8;

}  // namespace harecrank

#endif  // HARECRANK_CORE_CHANGE_PLANNER_H_
