// Decodes what hosts tell each other about crashes of endpoints.

#ifndef HARECRANK_CORE_CRASH_REPORT_DECODING_H_
#define HARECRANK_CORE_CRASH_REPORT_DECODING_H_

#include "harecrank/core/array_reader.h"
#include "harecrank/core/fleet_messages.h"

namespace harecrank {

// Decodes the elements of a message that follow its kind. Throws as ArrayReader
// does if one is missing or of another type.
CrashReports TakeCrashReports(ArrayReader* reader);

}  // namespace harecrank

#endif  // HARECRANK_CORE_CRASH_REPORT_DECODING_H_
