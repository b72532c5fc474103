// The configuration in force in this process. Its revision never decreases.

#ifndef HARECRANK_CORE_ACTIVE_CONFIG_H_
#define HARECRANK_CORE_ACTIVE_CONFIG_H_

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "harecrank/core/configuration.h"
#include "harecrank/core/rcu_cell.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The origin of a configuration. kService is the platform's configuration
// service, kPeer another node of the fleet. kNone means that there is no
// configuration yet.
enum class ConfigSource { kNone, kService, kPeer };

// Returns "none", "service" or "peer".
const char* ConfigSourceName(ConfigSource source);

// The outcome of an offered configuration.
enum class OfferResult {
  // The configuration is now in force.
  kAdopted,
  // The configuration was in force already.
  kAlreadyInForce,
  // Rejected: the revision is lower than the one in force.
  kOlder,
  // Rejected and reported: the revision is the one in force, but the content
  // differs.
  kConflict,
  // Rejected as a whole: the document or the change is invalid.
  kInvalid,
  // Rejected: the base of the change is not in force. The whole document is
  // needed.
  kMissingBase,
};

// Returns the name of `outcome` in logs and metrics.
const char* OfferResultName(OfferResult outcome);

// Status of ActiveConfig for operators.
struct ActiveConfigState {
  Revision revision;
  Digest digest;
  ConfigSource source = ConfigSource::kNone;
  // Number of offers by outcome. `gaps` counts OfferResult::kMissingBase.
  std::uint64_t adopted = 0;
  std::uint64_t older = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t invalid = 0;
  std::uint64_t gaps = 0;
  // Description of the latest conflict or invalid offer, or empty.
  std::string last_fault;
};

// Holds the valid configuration with the highest revision that this process has
// been offered.
//
// Thread-safe. InForce() is wait-free; offers are serialised.
class ActiveConfig {
 public:
  ActiveConfig();

  // Offers a whole document, which comes into force if it is valid and has a
  // higher revision.
  OfferResult OfferDocument(const std::string& document_json,
                            ConfigSource source);

  // Offers a change, which comes into force if its base is in force and its
  // result is valid.
  OfferResult OfferChange(const v1::Change& change, ConfigSource source);

  // Returns the configuration in force, or null if there is none yet.
  std::shared_ptr<const Configuration> InForce() const;

  // Returns the changes that lead from `have` to the configuration in force, or
  // nothing if some of them are no longer stored. Empty if `have` is in force.
  std::optional<v1::ChangeLog> ChangesSince(const Digest& have) const;

  // Returns the stored changes, oldest first.
  v1::ChangeLog RecentChanges() const;

  // Returns the change that led to the configuration in force, or nothing if it
  // was offered as a whole document.
  std::optional<v1::Change> LatestChange() const;

  ActiveConfigState State() const;

  // The most changes that are stored, for peers that lag by a few revisions.
  static constexpr std::size_t kMaxRecentChanges = 64;

 private:
  struct Current {
    std::shared_ptr<const Configuration> configuration;
    ConfigSource source = ConfigSource::kNone;
  };

  // Compares an offer with the configuration in force. Returns kAdopted if the
  // offered revision is higher, otherwise why the offer is rejected. A conflict
  // is recorded in state_. Requires mutex_ to be held, as the next two
  // functions do.
  OfferResult CompareWithCurrent(Revision revision, const Digest& digest);
  // Counts `outcome` in state_ and returns it.
  OfferResult Count(OfferResult outcome);
  void Adopt(std::shared_ptr<const Configuration> next, ConfigSource source);

  mutable std::mutex mutex_;
  RcuCell<Current> current_;
  // Oldest first.
  std::deque<v1::Change> recent_changes_;
  // Digests of documents that a change failed to produce, so that the same
  // invalid change from another peer is rejected without another validation.
  std::set<std::string> invalid_digests_;
  ActiveConfigState state_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ACTIVE_CONFIG_H_
