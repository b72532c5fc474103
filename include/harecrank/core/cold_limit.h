// The configured limit on requests to cold endpoints.

#ifndef HARECRANK_CORE_COLD_LIMIT_H_
#define HARECRANK_CORE_COLD_LIMIT_H_

namespace harecrank {

// Limit on the requests that all hosts together may send in any second to a
// cold endpoint, one that has recently started or has reported that it is cold
// again: `overage` times the rate that its service declares for cold endpoints,
// plus `slack`.
struct ColdLimit {
  // Factor on the declared rate. Zero disables the limit.
  double overage = 0;
  // Number of requests that are allowed in addition.
  double slack = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_COLD_LIMIT_H_
