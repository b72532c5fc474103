// Which configuration is in force on this process. It never goes back.

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

// Where a configuration came from.
enum class ConfigSource { kNone, kService, kPeer };

// Returns "none", "service" or "peer".
const char* ConfigSourceName(ConfigSource source);

// What became of an offered configuration.
enum class OfferResult {
  // It is in force now.
  kAdopted,
  // It is the one in force already.
  kAlreadyInForce,
  // It is older than the one in force. Never adopted.
  kOlder,
  // It has the revision in force but another content. Refused and reported.
  kConflict,
  // It has a fault. Refused whole.
  kInvalid,
  // It is a change whose base is not in force here: the whole is needed.
  kMissingBase,
};

// Returns a word for logs and counters.
const char* OfferResultName(OfferResult offer);

// What the active_config reports of itself.
struct ActiveConfigState {
  Revision revision;
  Digest digest;
  ConfigSource source = ConfigSource::kNone;
  std::uint64_t adopted = 0;
  std::uint64_t older = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t invalid = 0;
  std::uint64_t gaps = 0;
  // The latest fault in words, or empty.
  std::string last_fault;
};

// Holds the highest valid revision that this process has ever seen.
//
// Thread-safe. Reading is wait-free; offers are serialised.
class ActiveConfig {
 public:
  ActiveConfig();

  // Offers a whole document.
  OfferResult OfferDocument(const std::string& document_json,
                            ConfigSource source);

  // Offers one change.
  OfferResult OfferChange(const v1::Change& change, ConfigSource source);

  // Returns the configuration in force, or null before the first.
  std::shared_ptr<const Configuration> InForce() const;

  // Returns the changes that lead from `have` to the revision in force, or
  // nothing if some are not remembered. Empty if `have` is in force.
  std::optional<v1::ChangeLog> ChangesSince(const Digest& have) const;

  // Returns the changes that are remembered, oldest first.
  v1::ChangeLog RecentChanges() const;

  // Returns the change that led to the revision in force, if it came as one.
  std::optional<v1::Change> LatestChange() const;

  ActiveConfigState State() const;

  // How many changes are remembered for peers that lag a little.
  static constexpr std::size_t kMaxRecentChanges = 64;

 private:
  struct Current {
    std::shared_ptr<const Configuration> configuration;
    ConfigSource source = ConfigSource::kNone;
  };

  // These two expect the mutex to be held.
  OfferResult Judge(Revision revision, const Digest& digest);
  OfferResult Count(OfferResult offer);
  void Adopt(std::shared_ptr<const Configuration> next, ConfigSource source);

  mutable std::mutex mutex_;
  RcuCell<Current> current_;
  std::deque<v1::Change> changes_;
  // Digests of documents refused for a fault, so that each peer that repeats
  // one does not cost another check.
  std::set<std::string> refused_;
  ActiveConfigState state_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ACTIVE_CONFIG_H_
