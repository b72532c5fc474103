// The part of a load's plan that every measurement shares.

#ifndef HARECRANK_BENCH_LOAD_PLAN_H_
#define HARECRANK_BENCH_LOAD_PLAN_H_

#include "src/cli/load_run.h"
#include "testing/fleet.h"

namespace harecrank::bench {

// Returns a plan that sends to the first `entries` entry hosts of `fleet`.
inline LoadPlan MakeLoadPlan(const testing::Fleet& fleet, int entries) {
  LoadPlan plan;
  for (int i = 0; i < entries; ++i) {
    plan.targets.push_back(fleet.CallersAddress(i));
  }
  plan.key = testing::kAccountKey;
  plan.model = testing::kModel;
  return plan;
}

}  // namespace harecrank::bench

#endif  // HARECRANK_BENCH_LOAD_PLAN_H_
