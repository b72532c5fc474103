// Timers on the clock on which all decisions are based.

#ifndef HARECRANK_SRC_GATEWAY_TIMER_H_
#define HARECRANK_SRC_GATEWAY_TIMER_H_

#include <boost/asio/basic_waitable_timer.hpp>

#include "harecrank/core/clock.h"

namespace harecrank {

// A timer that expires while the machine is suspended fires soon after it
// resumes. The kernel's timers use a clock that stops during the suspension,
// but as soon as one of them fires, after one tick of the gateway at the
// latest, all expired timers are run.
using Timer = boost::asio::basic_waitable_timer<BootClock>;

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_TIMER_H_
