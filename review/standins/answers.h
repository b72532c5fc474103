// The answers that the servers of the cases give, which clients compare with
// what they receive.

#ifndef HARECRANK_REVIEW_STANDINS_ANSWERS_H_
#define HARECRANK_REVIEW_STANDINS_ANSWERS_H_

#include <string>

namespace harecrank::review {

// Size of a plain answer's body in bytes, as on the users' sheets.
constexpr std::size_t kPlainBytes = 800;

// Path prefixes of the requests.
constexpr char kPlainPath[] = "/plain/";
constexpr char kOncePath[] = "/once/";
constexpr char kShortStreamPath[] = "/stream/short/";
constexpr char kLongStreamPath[] = "/stream/long/";

// Returns the whole body of the plain answer to a request.
inline std::string PlainBody(const std::string& request_id) {
  std::string body;
  while (body.size() < kPlainBytes) {
    body += request_id + ".";
  }
  body.resize(kPlainBytes);
  return body;
}

// Returns the number of events in the stream for a path, or zero if the answer
// is not a stream. The long one has as many as the longest on the sheets.
inline int EventCount(const std::string& path) {
  constexpr int kShortStreamEvents = 4;
  constexpr int kLongStreamEvents = 82;
  if (path.rfind(kShortStreamPath, 0) == 0) {
    return kShortStreamEvents;
  }
  return path.rfind(kLongStreamPath, 0) == 0 ? kLongStreamEvents : 0;
}

// Returns the event with this number, counted from 1, of a request's stream.
inline std::string StreamEvent(const std::string& request_id, int number) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: " + request_id + "-" + text + "\n\n";
}

}  // namespace harecrank::review

#endif  // HARECRANK_REVIEW_STANDINS_ANSWERS_H_
