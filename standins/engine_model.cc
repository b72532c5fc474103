#include "standins/engine_model.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace harecrank::standins {
namespace {

constexpr std::uint64_t kBase = 1099511628211ULL;
constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15ULL;
constexpr double kMillisPerSecond = 1000.0;
constexpr std::chrono::milliseconds kWait{50};

}  // namespace

TextDigest DigestText(const std::string& text) {
  TextDigest digest;
  for (const char c : text) {
    digest.hash = digest.hash * kBase + static_cast<unsigned char>(c) + 1;
    digest.power *= kBase;
  }
  digest.bytes = static_cast<std::int64_t>(text.size());
  return digest;
}

TextDigest JoinDigests(const TextDigest& first, const TextDigest& second) {
  TextDigest joined;
  joined.hash = first.hash * second.power + second.hash;
  joined.power = first.power * second.power;
  joined.bytes = first.bytes + second.bytes;
  return joined;
}

std::string TokenAt(const TextDigest& prompt, std::int64_t position) {
  std::uint64_t mixed =
      (prompt.hash ^ static_cast<std::uint64_t>(position)) * kMix;
  mixed ^= mixed >> 29U;
  constexpr std::size_t kSize = 8;
  char text[kSize];
  std::snprintf(text, sizeof(text), "%03x ",
                static_cast<unsigned>(mixed & 0xFFFU));
  return text;
}

EngineModel::EngineModel(const EngineOptions& options)
    : options_(options), thread_([this] { Run(); }) {}

EngineModel::~EngineModel() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

bool EngineModel::Add(const EngineWork& work) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::int64_t memory = work.prompt_tokens + work.answer_tokens;
  if (used_ + memory > options_.memory_tokens || by_id_.count(work.id) > 0) {
    return false;
  }
  used_ += memory;
  auto sequence = std::make_shared<Sequence>();
  sequence->work = work;
  sequence->memory = memory;
  sequence->position = work.resume_from;
  sequence->prefill_left =
      std::max<std::int64_t>(1, work.prompt_tokens - CachedTokens(work.blocks));
  sequences_.push_back(sequence);
  by_id_.emplace(work.id, sequence);
  changed_.notify_all();
  return true;
}

WorkState EngineModel::Wait(const std::string& id,
                            std::vector<ReadyToken>* tokens) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return WorkState::kGone;
  }
  const auto sequence = found->second;
  changed_.wait_for(lock, kWait, [&] {
    return sequence->done || !sequence->ready.empty() || by_id_.count(id) == 0;
  });
  if (by_id_.count(id) == 0) {
    return WorkState::kGone;
  }
  for (; !sequence->ready.empty(); sequence->ready.pop_front()) {
    tokens->push_back(sequence->ready.front());
  }
  return sequence->done ? WorkState::kDone : WorkState::kRunning;
}

void EngineModel::Remove(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return;
  }
  used_ -= found->second->memory;
  sequences_.remove(found->second);
  by_id_.erase(found);
  changed_.notify_all();
}

std::optional<TextDigest> EngineModel::Segment(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = by_id_.find(id);
  if (found == by_id_.end() || !found->second->work.is_segment ||
      !found->second->done) {
    return std::nullopt;
  }
  return found->second->work.prompt;
}

std::int64_t EngineModel::Used() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return used_;
}

std::vector<MemoryAllocation> EngineModel::Allocations() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<MemoryAllocation> holdings;
  for (const auto& sequence : sequences_) {
    holdings.push_back(MemoryAllocation{sequence->work.id, sequence->work.owner,
                                        sequence->memory});
  }
  return holdings;
}

void EngineModel::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    std::vector<Sequence*> decoding;
    const double step_ms = PlanStep(&decoding);
    if (step_ms <= 0) {
      changed_.wait_for(lock, kWait);
      continue;
    }
    std::set<std::string> decoded;
    for (const Sequence* sequence : decoding) {
      decoded.insert(sequence->work.id);
    }
    lock.unlock();
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(step_ms));
    lock.lock();
    FinishStep(decoded);
    changed_.notify_all();
  }
}

double EngineModel::PlanStep(std::vector<Sequence*>* decoding) {
  std::vector<Sequence*> prefilling;
  for (const auto& sequence : sequences_) {
    if (sequence->done) {
      continue;
    }
    (sequence->prefill_left > 0 ? prefilling : *decoding)
        .push_back(sequence.get());
  }
  std::stable_sort(prefilling.begin(), prefilling.end(),
                   [](const Sequence* a, const Sequence* b) {
                     return a->work.priority > b->work.priority;
                   });
  std::int64_t budget = options_.step_tokens;
  std::int64_t taken = 0;
  for (Sequence* sequence : prefilling) {
    const std::int64_t part =
        std::min({sequence->prefill_left, sequence->work.chunk_tokens, budget});
    sequence->prefill_left -= part;
    budget -= part;
    taken += part;
  }
  if (prefilling.empty() && decoding->empty()) {
    return 0;
  }
  return options_.base_step_ms +
         options_.step_ms_per_stream * static_cast<double>(decoding->size()) +
         static_cast<double>(taken) / options_.prefill_tokens_per_second *
             kMillisPerSecond;
}

void EngineModel::FinishStep(const std::set<std::string>& decoded) {
  for (const auto& sequence : sequences_) {
    if (sequence->done || sequence->prefill_left > 0) {
      continue;
    }
    if (sequence->work.is_segment) {
      sequence->done = true;
      continue;
    }
    // The step that ends the prefill brings the first token.
    const bool first = sequence->position == sequence->work.resume_from;
    if (first) {
      Remember(sequence->work.blocks);
    }
    if (first || decoded.count(sequence->work.id) > 0) {
      sequence->ready.push_back(
          ReadyToken{sequence->position,
                     TokenAt(sequence->work.prompt, sequence->position)});
      ++sequence->position;
    }
    sequence->done = sequence->position >= sequence->work.answer_tokens;
  }
}

std::int64_t EngineModel::CachedTokens(
    const std::vector<std::uint64_t>& blocks) const {
  std::int64_t cached = 0;
  for (const std::uint64_t block : blocks) {
    if (cache_.count(block) == 0) {
      break;
    }
    cached += kBlockTokens;
  }
  return cached;
}

void EngineModel::Remember(const std::vector<std::uint64_t>& blocks) {
  const auto most =
      static_cast<std::size_t>(options_.cache_tokens / kBlockTokens);
  for (const std::uint64_t block : blocks) {
    if (cache_.insert(block).second) {
      cache_order_.push_back(block);
    }
    if (cache_order_.size() > most) {
      cache_.erase(cache_order_.front());
      cache_order_.pop_front();
    }
  }
}

}  // namespace harecrank::standins
