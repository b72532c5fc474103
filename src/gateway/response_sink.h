// Interface through which the response to one request is written to its caller.

#ifndef HARECRANK_SRC_GATEWAY_RESPONSE_SINK_H_
#define HARECRANK_SRC_GATEWAY_RESPONSE_SINK_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string>

namespace harecrank {

// Status, reason and headers of a response, without the headers that frame its
// body.
using ResponseHead =
    boost::beast::http::response_header<boost::beast::http::fields>;

// The part of a response that a sink has not got yet.
struct HeldResponse {
  std::size_t bytes = 0;
  // Whether its endpoint may send without end: it has announced no size, or one
  // far larger than those of ordinary answers.
  bool may_be_endless = false;
};

// Writes the response to one request to its caller. Exactly one of these
// sequences must be called: SendWhole; or BeginStream, SendEvents any number of
// times, and EndStream or AbortStream.
class ResponseSink {
 public:
  ResponseSink() = default;
  ResponseSink(const ResponseSink&) = delete;
  ResponseSink& operator=(const ResponseSink&) = delete;
  virtual ~ResponseSink() = default;

  // Sends a complete response.
  virtual void SendWhole(ResponseHead head, std::string body) = 0;

  // Sends the head of a response whose length is not known yet.
  virtual void BeginStream(ResponseHead head) = 0;
  virtual void SendEvents(std::string bytes) = 0;
  virtual void EndStream() = 0;
  // Closes the connection without the end of the response, so that the caller
  // recognises the response as incomplete.
  virtual void AbortStream() = 0;

  // Returns whether so much of a stream waits for the caller to read it that no
  // more should be fetched now.
  virtual bool IsCongested() const = 0;

  // Tells how much of the response is held until it is sent as a whole.
  virtual void OnResponseHeld(const HeldResponse& held) = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_RESPONSE_SINK_H_
