#include "harecrank/core/active_config.h"

#include <utility>

namespace harecrank {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kMostRefusedRemembered = 256;

// A configuration, or in words why there is none.
struct Outcome {
  std::shared_ptr<const Configuration> configuration;
  std::string fault;
};

template <typename Operation>
Outcome Try(Operation operation) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Outcome> {
        BOOST_LEAF_AUTO(configuration, operation());
        return Outcome{std::move(configuration), ""};
      },
      [](const ConfigError& error) {
        return Outcome{nullptr, Describe(error)};
      },
      [] {
        return Outcome{nullptr, "an error of another layer"};
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

const char* OfferResultName(OfferResult offer) {
  switch (offer) {
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
  Outcome outcome = Try([&] { return Configuration::Parse(document_json); });
  const std::lock_guard<std::mutex> lock(mutex_);
  if (outcome.configuration == nullptr) {
    state_.last_fault = outcome.fault;
    return Count(OfferResult::kInvalid);
  }
  const OfferResult offer = Judge(outcome.configuration->GetRevision(),
                                  outcome.configuration->GetDigest());
  if (offer == OfferResult::kAdopted) {
    // The steps between are unknown: peers that lag get the whole.
    changes_.clear();
    Adopt(std::move(outcome.configuration), source);
  }
  return Count(offer);
}

OfferResult ActiveConfig::OfferChange(const v1::Change& change,
                                      ConfigSource source) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const OfferResult offer =
      Judge(Revision{change.revision()}, Digest{change.digest()});
  if (offer != OfferResult::kAdopted) {
    return Count(offer);
  }
  if (refused_.count(change.digest()) > 0) {
    return Count(OfferResult::kInvalid);
  }
  const auto base = InForce();
  if (base == nullptr || base->GetDigest().value != change.base_digest()) {
    return Count(OfferResult::kMissingBase);
  }
  Outcome outcome = Try([&] { return base->Apply(change); });
  if (outcome.configuration == nullptr) {
    state_.last_fault = outcome.fault;
    if (refused_.size() < kMostRefusedRemembered) {
      refused_.insert(change.digest());
    }
    return Count(OfferResult::kInvalid);
  }
  changes_.push_back(change);
  if (changes_.size() > kMaxRecentChanges) {
    changes_.pop_front();
  }
  Adopt(std::move(outcome.configuration), source);
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
  auto first = changes_.begin();
  while (first != changes_.end() && first->base_digest() != have.value) {
    ++first;
  }
  if (first == changes_.end()) {
    return std::nullopt;
  }
  for (; first != changes_.end(); ++first) {
    *log.add_changes() = *first;
  }
  return log;
}

v1::ChangeLog ActiveConfig::RecentChanges() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  v1::ChangeLog log;
  for (const v1::Change& change : changes_) {
    *log.add_changes() = change;
  }
  return log;
}

std::optional<v1::Change> ActiveConfig::LatestChange() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (changes_.empty()) {
    return std::nullopt;
  }
  return changes_.back();
}

ActiveConfigState ActiveConfig::State() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_;
}

OfferResult ActiveConfig::Judge(Revision revision, const Digest& digest) {
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

OfferResult ActiveConfig::Count(OfferResult offer) {
  switch (offer) {
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
  return offer;
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
