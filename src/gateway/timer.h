// Timers on the clock that all decisions are made by.

#ifndef HARECRANK_SRC_GATEWAY_TIMER_H_
#define HARECRANK_SRC_GATEWAY_TIMER_H_

#include <boost/asio/basic_waitable_timer.hpp>

#include "harecrank/core/clock.h"

namespace harecrank {

// What was due while the machine was suspended is due at once when it wakes:
// the kernel's own timers go by a clock that stood still, but whichever of them
// fires first, after a tick of the gateway at the latest, brings all others.
using Timer = boost::asio::basic_waitable_timer<BootClock>;

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_TIMER_H_
