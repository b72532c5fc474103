// A simulated model engine. It runs no model: it batches sequences, spends time
// and memory on them as an engine does, and generates tokens that depend only
// on the prompt and their position.

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

// A digest of a text that can be concatenated: joining the digests of
// consecutive parts gives the digest of the whole text, wherever the text was
// split. An engine that generates for a group computes the digest of the prompt
// from those of its segments.
struct TextDigest {
  // A polynomial hash of the bytes, modulo 2^64.
  std::uint64_t hash = 0;
  // The base of the polynomial, raised to the power `bytes`.
  std::uint64_t power = 1;
  std::int64_t bytes = 0;
};
TextDigest DigestText(const std::string& text);
TextDigest JoinDigests(const TextDigest& first, const TextDigest& second);

// Returns the token at `position` of the response to a prompt with the digest
// `prompt`.
std::string TokenAt(const TextDigest& prompt, std::int64_t position);

// Speed and capacity of the engine.
struct EngineOptions {
  std::int64_t memory_tokens = 100000;
  double prefill_tokens_per_second = 100000;
  // Time of a step without its prefill, and the additional time for each
  // sequence that decodes in it.
  double base_step_ms = 2;
  double step_ms_per_stream = 0.05;
  // Maximum number of tokens that are prefilled in one step.
  std::int64_t step_tokens = 4096;
  // Capacity of the prefix cache.
  std::int64_t cache_tokens = 50000;
};

// A request to the engine.
struct EngineWork {
  std::string id;
  // Identifies the sidecar incarnation that sent the request.
  std::uint64_t owner = 0;
  TextDigest prompt;
  // Digests of the prompt's prefixes, one per block of kBlockTokens tokens.
  // Keys of the prefix cache.
  std::vector<std::uint64_t> blocks;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  // Position of the first token to generate.
  std::int64_t resume_from = 0;
  // Sequences with a higher priority are prefilled first.
  int priority = 0;
  // Maximum number of tokens of this prompt that are prefilled in one step.
  std::int64_t chunk_tokens = 4096;
  // Whether the work is to prefill a segment of a group's prompt and keep it in
  // memory. No tokens are generated.
  bool is_segment = false;
};

// A generated token.
struct ReadyToken {
  std::int64_t position = 0;
  std::string text;
};

// State of a request. kNotFound: the id is unknown or its work was removed.
enum class WorkState { kRunning, kDone, kNotFound };

// Memory that is allocated for a request.
struct MemoryAllocation {
  std::string id;
  std::uint64_t owner = 0;
  std::int64_t tokens = 0;
};

// Runs continuous batching on a thread of its own. Thread-safe.
class EngineModel {
 public:
  explicit EngineModel(const EngineOptions& options);
  ~EngineModel();
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  // Adds a request and allocates memory for its prompt and its full response.
  // Returns false if the memory does not suffice or the id is in use.
  bool Add(const EngineWork& work);

  // Waits up to 50 ms for tokens of `id` and appends those that are ready to
  // `tokens`.
  WorkState WaitForTokens(const std::string& id,
                          std::vector<ReadyToken>* tokens);

  // Ends a request or drops a segment, and frees its memory.
  void Remove(const std::string& id);

  // Returns the digest of a segment, or nothing if no such segment exists or
  // its prefill has not finished.
  std::optional<TextDigest> FindSegment(const std::string& id);

  std::int64_t UsedTokens();
  std::int64_t CapacityTokens() const { return options_.memory_tokens; }
  std::vector<MemoryAllocation> Allocations();

 private:
  struct Sequence {
    EngineWork work;
    // Tokens that are still to be prefilled.
    std::int64_t prefill_left = 0;
    // Position of the next token.
    std::int64_t position = 0;
    // Allocated tokens.
    std::int64_t memory = 0;
    bool done = false;
    std::deque<ReadyToken> ready;
  };

  void Run();
  // Distributes the prefill budget of the next step by priority and collects
  // the sequences that decode in it. Returns the duration of the step in
  // milliseconds, or 0 if there is nothing to do. Requires the mutex.
  double PlanStep(std::vector<Sequence*>* decoding);
  // Adds the tokens that the step generated. `decoded` has the ids of the
  // sequences that decoded in it. Requires the mutex.
  void FinishStep(const std::set<std::string>& decoded);
  // Returns the length of the cached prefix in tokens.
  std::int64_t CachedTokens(const std::vector<std::uint64_t>& blocks) const;
  // Adds blocks to the prefix cache and evicts the oldest ones beyond its
  // capacity.
  void AddToCache(const std::vector<std::uint64_t>& blocks);

  EngineOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::list<std::shared_ptr<Sequence>> sequences_;
  std::unordered_map<std::string, std::shared_ptr<Sequence>> by_id_;
  // Allocated tokens of all sequences.
  std::int64_t used_ = 0;
  std::set<std::uint64_t> cache_;
  // Blocks of `cache_`, oldest first.
  std::deque<std::uint64_t> cache_order_;
  bool stopping_ = false;
  std::thread thread_;
};

// Granularity of the prefix cache.
constexpr std::int64_t kBlockTokens = 256;
// The stand-ins count four bytes of text as one token.
constexpr std::int64_t kBytesPerToken = 4;

}  // namespace harecrank::standins

#endif  // HARECRANK_STANDINS_ENGINE_MODEL_H_
