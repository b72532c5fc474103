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

const char* OfferName(Offer offer) {
  switch (offer) {
    case Offer::kAdopted:
      return "adopted";
    case Offer::kAlreadyInForce:
      return "same";
    case Offer::kOlder:
      return "older";
    case Offer::kConflict:
      return "conflict";
    case Offer::kInvalid:
      return "invalid";
    case Offer::kMissingBase:
      return "gap";
  }
  return "invalid";
}

ActiveConfig::ActiveConfig() : current_(std::make_shared<const Current>()) {}

Offer ActiveConfig::OfferDocument(const std::string& document_json,
                                  ConfigSource source) {
  Outcome outcome = Try([&] { return Configuration::Parse(document_json); });
  const std::lock_guard<std::mutex> lock(mutex_);
  if (outcome.configuration == nullptr) {
    state_.last_fault = outcome.fault;
    return Count(Offer::kInvalid);
  }
  const Offer offer = Judge(outcome.configuration->GetRevision(),
                            outcome.configuration->GetDigest());
  if (offer == Offer::kAdopted) {
    // The steps between are unknown: peers that lag get the whole.
    changes_.clear();
    Adopt(std::move(outcome.configuration), source);
  }
  return Count(offer);
}

Offer ActiveConfig::OfferChange(const v1::Change& change, ConfigSource source) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Offer offer =
      Judge(Revision{change.revision()}, Digest{change.digest()});
  if (offer != Offer::kAdopted) {
    return Count(offer);
  }
  if (refused_.count(change.digest()) > 0) {
    return Count(Offer::kInvalid);
  }
  const auto base = InForce();
  if (base == nullptr || base->GetDigest().value != change.base_digest()) {
    return Count(Offer::kMissingBase);
  }
  Outcome outcome = Try([&] { return base->Apply(change); });
  if (outcome.configuration == nullptr) {
    state_.last_fault = outcome.fault;
    if (refused_.size() < kMostRefusedRemembered) {
      refused_.insert(change.digest());
    }
    return Count(Offer::kInvalid);
  }
  changes_.push_back(change);
  if (changes_.size() > kMaxRecentChanges) {
    changes_.pop_front();
  }
  Adopt(std::move(outcome.configuration), source);
  return Count(Offer::kAdopted);
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

Offer ActiveConfig::Judge(Revision revision, const Digest& digest) {
  if (revision < state_.revision) {
    return Offer::kOlder;
  }
  if (revision == state_.revision) {
    if (digest == state_.digest) {
      return Offer::kAlreadyInForce;
    }
    state_.last_fault = "two documents have the revision " +
                        std::to_string(revision.value) + ": " +
                        state_.digest.value + " is in force, " + digest.value +
                        " was refused; publish a higher revision";
    return Offer::kConflict;
  }
  return Offer::kAdopted;
}

Offer ActiveConfig::Count(Offer offer) {
  switch (offer) {
    case Offer::kAdopted:
      ++state_.adopted;
      break;
    case Offer::kAlreadyInForce:
      break;
    case Offer::kOlder:
      ++state_.older;
      break;
    case Offer::kConflict:
      ++state_.conflicts;
      break;
    case Offer::kInvalid:
      ++state_.invalid;
      break;
    case Offer::kMissingBase:
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
