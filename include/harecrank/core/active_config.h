// Keeps the active configuration of this process. Its revision never decreases.

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
  // Accepted: the offered configuration is now active.
  kAdopted,
  // No effect: the offered configuration is already active.
  kAlreadyInForce,
  // Rejected: the offered revision is lower than the active one.
  kOlder,
  // Rejected and reported: the offered configuration has the same revision as
  // the active one but other content.
  kConflict,
  // Rejected: the document, or the result of the change, is invalid. No part of
  // it is used.
  kInvalid,
  // Rejected: the active configuration is not the base of the change. The
  // offering process has to send the whole document.
  kMissingBase,
};

// Returns the name of `outcome` in logs and metrics.
const char* OfferResultName(OfferResult outcome);

// Status of an ActiveConfig, reported to operators.
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

// Holds the active configuration: the valid one with the highest revision that
// this process has been offered.
//
// Thread-safe. InForce() is wait-free; offers are serialised.
class ActiveConfig {
 public:
  ActiveConfig();

  // Offers a whole document. It becomes active if it is valid and has a higher
  // revision than the active configuration.
  OfferResult OfferDocument(const std::string& document_json,
                            ConfigSource source);

  // Offers a change. Its result becomes active if the active configuration is
  // the base of the change and the result is valid.
  OfferResult OfferChange(const v1::Change& change, ConfigSource source);

  // Returns the active configuration, or null if there is none yet.
  std::shared_ptr<const Configuration> InForce() const;

  // Returns the changes that lead from the configuration with the digest `have`
  // to the active one, or nothing if some of them are no longer stored. Returns
  // an empty log if `have` is the digest of the active configuration.
  std::optional<v1::ChangeLog> ChangesSince(const Digest& have) const;

  // Returns the stored changes, oldest first.
  v1::ChangeLog RecentChanges() const;

  // Returns the change that produced the active configuration, or nothing if
  // that configuration was offered as a whole document.
  std::optional<v1::Change> LatestChange() const;

  ActiveConfigState State() const;

  // Maximum number of stored changes. A peer that lacks only stored changes
  // receives these instead of the whole document.
  static constexpr std::size_t kMaxRecentChanges = 64;

 private:
  // The active configuration, or null, and its origin.
  struct Current {
    std::shared_ptr<const Configuration> configuration;
    ConfigSource source = ConfigSource::kNone;
  };

  // Compares an offer with the active configuration. Returns kAdopted if the
  // offered revision is higher, otherwise why the offer is rejected. A conflict
  // is recorded in state_. Requires mutex_ to be held.
  OfferResult CompareWithCurrent(Revision revision, const Digest& digest);
  // Counts `outcome` in state_ and returns it. Requires mutex_ to be held.
  OfferResult Count(OfferResult outcome);
  void Adopt(std::shared_ptr<const Configuration> next, ConfigSource source);

  mutable std::mutex mutex_;
  RcuCell<Current> current_;
  // Oldest first.
  std::deque<v1::Change> recent_changes_;
  // Result digests stated by changes that failed to apply. A change that states
  // one of them, for example the same change from another peer, is rejected
  // without being validated again.
  std::set<std::string> invalid_digests_;
  ActiveConfigState state_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ACTIVE_CONFIG_H_
