#include "harecrank/core/answer_form.h"

#include <algorithm>
#include <string_view>

namespace harecrank {
namespace {

// Statuses below are those of interim answers; above, HTTP defines none.
constexpr unsigned kMinInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxFinalStatus = 599;

char LowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool IsChunked(std::string_view coding) {
  constexpr std::string_view kChunked = "chunked";
  return std::equal(coding.begin(), coding.end(), kChunked.begin(),
                    kChunked.end(),
                    [](char a, char b) { return LowerCase(a) == b; });
}

std::optional<HeadFault> FramingFaultOf(const AnswerHead& head) {
  if (!head.transfer_coding.has_value()) {
    return std::nullopt;
  }
  if (!IsChunked(*head.transfer_coding) || head.minor_version == 0) {
    return HeadFault::kTransferCoding;
  }
  return head.has_length ? std::make_optional(HeadFault::kTwoLengths)
                         : std::nullopt;
}

}  // namespace

const char* NameOf(HeadFault fault) {
  switch (fault) {
    case HeadFault::kStatus:
      return "odd_status";
    case HeadFault::kProtocol:
      return "other_protocol";
    case HeadFault::kTransferCoding:
      return "odd_transfer_coding";
    case HeadFault::kTwoLengths:
      return "two_lengths";
    case HeadFault::kNoFinalAnswer:
      return "no_final_answer";
  }
  return "unknown";
}

bool IsFinalStatus(unsigned status) {
  return status >= kMinFinalStatus && status <= kMaxFinalStatus;
}

HeadVerdict AnswerHeads::Check(const AnswerHead& head) {
  if (head.status == kSwitchingProtocols) {
    return HeadFault::kProtocol;
  }
  const bool is_final = IsFinalStatus(head.status);
  if (!is_final &&
      (head.status < kMinInterimStatus || head.status > kMaxFinalStatus)) {
    return HeadFault::kStatus;
  }
  if (const auto fault = FramingFaultOf(head)) {
    return *fault;
  }
  if (!is_final && ++interim_answers_ > kMaxInterimAnswers) {
    return HeadFault::kNoFinalAnswer;
  }
  return is_final ? AnswerStage::kFinal : AnswerStage::kInterim;
}

std::optional<HeadFault> FaultOfOnlyHead(const AnswerHead& head) {
  const HeadVerdict verdict = AnswerHeads().Check(head);
  if (const auto* fault = std::get_if<HeadFault>(&verdict)) {
    return *fault;
  }
  return std::get<AnswerStage>(verdict) == AnswerStage::kInterim
             ? std::make_optional(HeadFault::kNoFinalAnswer)
             : std::nullopt;
}

}  // namespace harecrank
