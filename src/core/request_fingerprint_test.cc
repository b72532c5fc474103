#include "harecrank/core/request_fingerprint.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

FingerprintParts Parts() {
  return FingerprintParts{AccountId{"acme"}, "POST", "/draft/1", "a body"};
}

TEST_CASE("Equal requests have equal fingerprints") {
  CHECK(FingerprintOf(Parts()) == FingerprintOf(Parts()));
}

TEST_CASE("Account, method, target and body each change the fingerprint") {
  const RequestFingerprint one = FingerprintOf(Parts());
  FingerprintParts parts = Parts();
  parts.account = AccountId{"else"};
  CHECK_FALSE(FingerprintOf(parts) == one);
  parts = Parts();
  parts.method = "PUT";
  CHECK_FALSE(FingerprintOf(parts) == one);
  parts = Parts();
  parts.target = "/draft/2";
  CHECK_FALSE(FingerprintOf(parts) == one);
  parts = Parts();
  parts.body = "another";
  CHECK_FALSE(FingerprintOf(parts) == one);
}

TEST_CASE("Moving text between adjacent parts changes the fingerprint") {
  FingerprintParts a = Parts();
  a.target = "/x";
  a.body = "yz";
  FingerprintParts b = Parts();
  b.target = "/xy";
  b.body = "z";
  CHECK_FALSE(FingerprintOf(a) == FingerprintOf(b));
}

}  // namespace
}  // namespace harecrank
