// Counters, gauges and histograms, as text that Prometheus reads.

#ifndef HARECRANK_SRC_ADAPTERS_METRICS_H_
#define HARECRANK_SRC_ADAPTERS_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// A number that only grows. Thread-safe.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// A distribution of durations, in a Boost.Histogram over logarithmic buckets
// of milliseconds. Thread-safe and lock-free.
class DurationHistogram {
 public:
  DurationHistogram();
  ~DurationHistogram();
  DurationHistogram(const DurationHistogram&) = delete;
  DurationHistogram& operator=(const DurationHistogram&) = delete;

  void Record(std::chrono::nanoseconds duration);

  // Appends the cumulative buckets, sum and count under `name`.
  void AppendText(const std::string& name, const std::string& labels,
                  std::string* text) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The metrics of one process, by name. Objects that it returns live as long as
// it does. Thread-safe; look-ups take a lock, so hold on to what they return.
class Metrics {
 public:
  // Returns the counter called `name`, with `labels` as in `a="b",c="d"`.
  Counter* GetCounter(const std::string& name, const std::string& labels = "");

  // Returns the histogram called `name`.
  DurationHistogram* GetHistogram(const std::string& name,
                                  const std::string& labels = "");

  // Adds a value that is read when asked for.
  void AddGauge(const std::string& name, std::function<double()> read);

  // Returns all of it in Prometheus's text format.
  std::string Text() const;

 private:
  struct Key {
    std::string name;
    std::string labels;
    bool operator<(const Key& other) const;
  };

  mutable std::mutex mutex_;
  std::map<Key, std::unique_ptr<Counter>> counters_;
  std::map<Key, std::unique_ptr<DurationHistogram>> histograms_;
  std::map<std::string, std::function<double()>> gauges_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_METRICS_H_
