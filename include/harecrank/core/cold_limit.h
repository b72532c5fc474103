// The configured limit on requests to cold endpoints.

#ifndef HARECRANK_CORE_COLD_LIMIT_H_
#define HARECRANK_CORE_COLD_LIMIT_H_

namespace harecrank {

// All hosts together may send a cold endpoint, in any second, `overage` times
// the rate that its service declares for cold endpoints, plus `slack` requests.
struct ColdLimit {
  // Zero means no limit.
  double overage = 0;
  double slack = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_COLD_LIMIT_H_
