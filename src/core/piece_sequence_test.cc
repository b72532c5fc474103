#include "harecrank/core/piece_sequence.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

TEST_CASE("Ascending positions may leave some out but never go back") {
  PieceSequence sequence(PieceStep::kAscending);
  CHECK_FALSE(sequence.Accept(0).has_value());
  CHECK_FALSE(sequence.Accept(5).has_value());
  CHECK(sequence.Accept(5) == PieceFault::kRepeated);
  CHECK(sequence.Accept(4) == PieceFault::kBackwards);
  CHECK(sequence.Next() == 6);
}

TEST_CASE("Consecutive positions leave none out") {
  PieceSequence sequence(PieceStep::kConsecutive, 3);
  CHECK(sequence.Accept(2) == PieceFault::kRepeated);
  CHECK(sequence.Accept(4) == PieceFault::kGap);
  CHECK_FALSE(sequence.Accept(3).has_value());
  CHECK(sequence.Next() == 4);
}

}  // namespace
}  // namespace harecrank
