// Timer on the clock that the gateway uses for all its decisions.

#ifndef HARECRANK_SRC_GATEWAY_TIMER_H_
#define HARECRANK_SRC_GATEWAY_TIMER_H_

#include <boost/asio/basic_waitable_timer.hpp>

#include "harecrank/core/clock.h"

namespace harecrank {

// A timer that expires while the machine is suspended fires soon after the
// machine resumes. The kernel's timers, which wake the event loop, use a clock
// that stops during the suspension. But as soon as one of them fires, after one
// tick of the gateway at the latest, the event loop runs all timers that have
// expired by BootClock.
using Timer = boost::asio::basic_waitable_timer<BootClock>;

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_TIMER_H_
