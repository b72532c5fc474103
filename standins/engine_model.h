// A model engine that computes nothing: it batches, takes time and memory, and
// answers with tokens that follow from the prompt alone.

#ifndef HARECRANK_STANDINS_ENGINE_MODEL_H_
#define HARECRANK_STANDINS_ENGINE_MODEL_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace harecrank::standins {

// A digest of a text that can be joined: the digest of a text is that of its
// parts, joined in order, however it was cut.
struct TextDigest {
  std::uint64_t hash = 0;
  std::uint64_t power = 1;
  std::int64_t bytes = 0;
};
TextDigest DigestText(const std::string& text);
TextDigest JoinDigests(const TextDigest& first, const TextDigest& second);

// Returns the token at `position` of the answer to a prompt with this digest.
std::string TokenAt(const TextDigest& prompt, std::int64_t position);

// How fast and how large the engine is.
struct EngineOptions {
  std::int64_t memory_tokens = 100000;
  double prefill_tokens_per_second = 100000;
  double base_step_ms = 2;
  double step_ms_per_stream = 0.05;
  std::int64_t step_tokens = 4096;
  std::int64_t cache_tokens = 50000;
};

// What a caller of the engine asks for.
struct EngineWork {
  std::string id;
  std::uint64_t owner = 0;
  TextDigest prompt;
  // The prompt's beginning in blocks, for the prefix cache.
  std::vector<std::uint64_t> blocks;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  // The first position of the answer that is still wanted.
  std::int64_t resume_from = 0;
  int priority = 0;
  std::int64_t chunk_tokens = 4096;
  bool is_segment = false;
};

// One token that is ready.
struct ReadyToken {
  std::int64_t position = 0;
  std::string text;
};

// What a wait for work brought.
enum class WorkState { kRunning, kDone, kGone };

// What the engine holds memory for.
struct MemoryAllocation {
  std::string id;
  std::uint64_t owner = 0;
  std::int64_t tokens = 0;
};

// Continuous batching on one thread. Thread-safe.
class EngineModel {
 public:
  explicit EngineModel(const EngineOptions& options);
  ~EngineModel();
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  // Takes work. Returns false if there is no memory for it or its id is taken.
  bool Add(const EngineWork& work);

  // Waits a little for tokens of `id` and appends those that are ready.
  WorkState Wait(const std::string& id, std::vector<ReadyToken>* tokens);

  // Ends work or drops a segment, and frees its memory.
  void Remove(const std::string& id);

  // Returns the digest of a segment that is prefilled, or nothing.
  std::optional<TextDigest> Segment(const std::string& id);

  std::int64_t Used();
  std::int64_t Memory() const { return options_.memory_tokens; }
  std::vector<MemoryAllocation> Allocations();

 private:
  struct Sequence {
    EngineWork work;
    std::int64_t prefill_left = 0;
    std::int64_t position = 0;
    std::int64_t memory = 0;
    bool done = false;
    std::deque<ReadyToken> ready;
  };

  void Run();
  double PlanStep(std::vector<Sequence*>* decoding);
  void FinishStep(const std::set<std::string>& decoded);
  std::int64_t CachedTokens(const std::vector<std::uint64_t>& blocks) const;
  void Remember(const std::vector<std::uint64_t>& blocks);

  EngineOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::list<std::shared_ptr<Sequence>> sequences_;
  std::unordered_map<std::string, std::shared_ptr<Sequence>> by_id_;
  std::int64_t used_ = 0;
  std::set<std::uint64_t> cache_;
  std::deque<std::uint64_t> cache_order_;
  bool stopping_ = false;
  std::thread thread_;
};

constexpr std::int64_t kBlockTokens = 256;
constexpr std::int64_t kBytesPerToken = 4;

}  // namespace harecrank::standins

#endif  // HARECRANK_STANDINS_ENGINE_MODEL_H_
