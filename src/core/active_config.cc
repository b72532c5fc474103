#include "harecrank/core/active_config.h"

#include <utility>

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

// Maximum number of stored digests of invalid changes.
constexpr std::size_t kMaxInvalidDigests = 256;

// The result of loading a configuration: the configuration, or null and a
// description of the fault.
struct LoadResult {
  std::shared_ptr<const Configuration> configuration;
  std::string fault;
};

// Runs `operation`, which returns a configuration or a ConfigError.
template <typename Operation>
LoadResult TryLoad(Operation operation) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<LoadResult> {
        BOOST_LEAF_AUTO(configuration, operation());
        return LoadResult{std::move(configuration), ""};
      },
      [](const ConfigError& error) {
        return LoadResult{nullptr, Describe(error)};
      },
      [] {
        return LoadResult{nullptr, "an error of another layer"};
      });
}

}  // namespace

const char* ConfigSourceName(ConfigSource source) {
  switch (source) {
    case ConfigSource::kNone:
      return "none";
    case ConfigSource::kService:
      return "service";
    case ConfigSource::kPeer:
      return "peer";
  }
  return "none";
}

const char* OfferResultName(OfferResult outcome) {
  switch (outcome) {
    case OfferResult::kAdopted:
      return "adopted";
    case OfferResult::kAlreadyInForce:
      return "same";
    case OfferResult::kOlder:
      return "older";
    case OfferResult::kConflict:
      return "conflict";
    case OfferResult::kInvalid:
      return "invalid";
    case OfferResult::kMissingBase:
      return "gap";
  }
  return "invalid";
}

ActiveConfig::ActiveConfig() : current_(std::make_shared<const Current>()) {}

OfferResult ActiveConfig::OfferDocument(const std::string& document_json,
                                        ConfigSource source) {
  LoadResult loaded =
      TryLoad([&] { return Configuration::Parse(document_json); });
  const std::lock_guard<std::mutex> lock(mutex_);
  if (loaded.configuration == nullptr) {
    state_.last_fault = loaded.fault;
    return Count(OfferResult::kInvalid);
  }
  const OfferResult outcome = CompareWithCurrent(
      loaded.configuration->GetRevision(), loaded.configuration->GetDigest());
  if (outcome == OfferResult::kAdopted) {
    // The changes that lead to this document are unknown, so peers that lag
    // receive the whole document.
    recent_changes_.clear();
    Adopt(std::move(loaded.configuration), source);
  }
  return Count(outcome);
}

OfferResult ActiveConfig::OfferChange(const v1::Change& change,
                                      ConfigSource source) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const OfferResult outcome =
      CompareWithCurrent(Revision{change.revision()}, Digest{change.digest()});
  if (outcome != OfferResult::kAdopted) {
    return Count(outcome);
  }
  if (invalid_digests_.count(change.digest()) > 0) {
    return Count(OfferResult::kInvalid);
  }
  const auto base = InForce();
  if (base == nullptr || base->GetDigest().value != change.base_digest()) {
    return Count(OfferResult::kMissingBase);
  }
  LoadResult loaded = TryLoad([&] { return base->Apply(change); });
  if (loaded.configuration == nullptr) {
    state_.last_fault = loaded.fault;
    if (invalid_digests_.size() < kMaxInvalidDigests) {
      invalid_digests_.insert(change.digest());
    }
    return Count(OfferResult::kInvalid);
  }
  recent_changes_.push_back(change);
  if (recent_changes_.size() > kMaxRecentChanges) {
    recent_changes_.pop_front();
  }
  Adopt(std::move(loaded.configuration), source);
  return Count(OfferResult::kAdopted);
}

std::shared_ptr<const Configuration> ActiveConfig::InForce() const {
  return current_.Load()->configuration;
}

std::optional<v1::ChangeLog> ActiveConfig::ChangesSince(
    const Digest& have) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  v1::ChangeLog log;
  if (have == state_.digest) {
    return log;
  }
  auto first = recent_changes_.begin();
  while (first != recent_changes_.end() && first->base_digest() != have.value) {
    ++first;
  }
  if (first == recent_changes_.end()) {
    return std::nullopt;
  }
  for (; first != recent_changes_.end(); ++first) {
    *log.add_changes() = *first;
  }
  return log;
}

v1::ChangeLog ActiveConfig::RecentChanges() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  v1::ChangeLog log;
  for (const v1::Change& change : recent_changes_) {
    *log.add_changes() = change;
  }
  return log;
}

std::optional<v1::Change> ActiveConfig::LatestChange() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (recent_changes_.empty()) {
    return std::nullopt;
  }
  return recent_changes_.back();
}

ActiveConfigState ActiveConfig::State() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_;
}

OfferResult ActiveConfig::CompareWithCurrent(Revision revision,
                                             const Digest& digest) {
  if (revision < state_.revision) {
    return OfferResult::kOlder;
  }
  if (revision == state_.revision) {
    if (digest == state_.digest) {
      return OfferResult::kAlreadyInForce;
    }
    state_.last_fault = "two documents have the revision " +
                        std::to_string(revision.value) + ": " +
                        state_.digest.value + " is in force, " + digest.value +
                        " was refused; publish a higher revision";
    return OfferResult::kConflict;
  }
  return OfferResult::kAdopted;
}

OfferResult ActiveConfig::Count(OfferResult outcome) {
  switch (outcome) {
    case OfferResult::kAdopted:
      ++state_.adopted;
      break;
    case OfferResult::kAlreadyInForce:
      break;
    case OfferResult::kOlder:
      ++state_.older;
      break;
    case OfferResult::kConflict:
      ++state_.conflicts;
      break;
    case OfferResult::kInvalid:
      ++state_.invalid;
      break;
    case OfferResult::kMissingBase:
      ++state_.gaps;
      break;
  }
  return outcome;
}

void ActiveConfig::Adopt(std::shared_ptr<const Configuration> next,
                         ConfigSource source) {
  state_.revision = next->GetRevision();
  state_.digest = next->GetDigest();
  state_.source = source;
  current_.Store(
      std::make_shared<const Current>(Current{std::move(next), source}));
}

}  // namespace harecrank
