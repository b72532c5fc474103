// The bound on requests at cold endpoints, as settings give it.

#ifndef HARECRANK_CORE_COLD_LIMIT_H_
#define HARECRANK_CORE_COLD_LIMIT_H_

namespace harecrank {

// What all hosts together may send to a cold endpoint in any second.
struct ColdLimit {
  // In multiples of what its service says that a cold endpoint takes. Zero: no
  // bound.
  double overage = 0;
  // Requests beyond that.
  double slack = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_COLD_LIMIT_H_
