#include "harecrank/core/answer_form.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace harecrank {
namespace {

HeadVerdict Check(const AnswerHead& head) { return AnswerHeads().Check(head); }

AnswerHead WithCoding(const std::string& coding) {
  AnswerHead head;
  head.status = 200;
  head.transfer_coding = coding;
  return head;
}

TEST_CASE("Only statuses from 200 to 599 are those of final answers") {
  for (const unsigned status : {0U, 1U, 99U, 600U, 999U}) {
    CAPTURE(status);
    CHECK(Check({status, 1, true, {}}) == HeadVerdict(HeadFault::kStatus));
    CHECK_FALSE(IsFinalStatus(status));
  }
  for (const unsigned status : {200U, 204U, 304U, 421U, 503U, 599U}) {
    CAPTURE(status);
    CHECK(Check({status, 1, true, {}}) == HeadVerdict(AnswerStage::kFinal));
  }
}

TEST_CASE("Another protocol is no answer") {
  CHECK(Check({101, 1, false, {}}) == HeadVerdict(HeadFault::kProtocol));
}

TEST_CASE("Interim answers are not final, and have an end") {
  AnswerHeads heads;
  for (int i = 0; i < kMaxInterimAnswers; ++i) {
    CHECK(heads.Check({100, 1, false, {}}) ==
          HeadVerdict(AnswerStage::kInterim));
  }
  CHECK(heads.Check({200, 1, true, {}}) == HeadVerdict(AnswerStage::kFinal));
  CHECK(heads.Check({103, 1, false, {}}) ==
        HeadVerdict(HeadFault::kNoFinalAnswer));
}

TEST_CASE("The only transfer coding is chunked, once and in HTTP/1.1") {
  CHECK(Check(WithCoding("chunked")) == HeadVerdict(AnswerStage::kFinal));
  CHECK(Check(WithCoding("Chunked")) == HeadVerdict(AnswerStage::kFinal));
  for (const char* coding :
       {"", "gzip", "identity", "chunke", "chunkedd", "gzip, chunked",
        "chunked, gzip", "chunked, chunked", "chunked;q=1", "chunked,"}) {
    CAPTURE(coding);
    CHECK(Check(WithCoding(coding)) == HeadVerdict(HeadFault::kTransferCoding));
  }
  AnswerHead old = WithCoding("chunked");
  old.minor_version = 0;
  CHECK(Check(old) == HeadVerdict(HeadFault::kTransferCoding));
}

TEST_CASE("A length and a transfer coding make two lengths") {
  AnswerHead head = WithCoding("chunked");
  head.has_length = true;
  CHECK(Check(head) == HeadVerdict(HeadFault::kTwoLengths));
}

TEST_CASE("The only head that follows a request is final and sound") {
  CHECK_FALSE(FaultOfOnlyHead({200, 1, true, {}}).has_value());
  CHECK(FaultOfOnlyHead({103, 1, true, {}}) == HeadFault::kNoFinalAnswer);
  CHECK(FaultOfOnlyHead({0, 1, true, {}}) == HeadFault::kStatus);
}

TEST_CASE("Each fault of a head has a name of its own") {
  std::set<std::string> names;
  for (const HeadFault fault :
       {HeadFault::kStatus, HeadFault::kProtocol, HeadFault::kTransferCoding,
        HeadFault::kTwoLengths, HeadFault::kNoFinalAnswer}) {
    names.insert(NameOf(fault));
  }
  CHECK(names.size() == 5);
}

}  // namespace
}  // namespace harecrank
