// Counters, gauges and histograms in Prometheus's text format.

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

// A monotonically increasing counter. Thread-safe.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// A histogram of durations with logarithmic buckets, based on Boost.Histogram.
// Thread-safe and lock-free.
class DurationHistogram {
 public:
  DurationHistogram();
  ~DurationHistogram();
  DurationHistogram(const DurationHistogram&) = delete;
  DurationHistogram& operator=(const DurationHistogram&) = delete;

  void Record(std::chrono::nanoseconds duration);

  // Appends the cumulative buckets, the sum and the count under `name` in
  // Prometheus's text format, with times in seconds.
  void AppendText(const std::string& name, const std::string& labels,
                  std::string* text) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Holds the metrics of one process by name. Returned pointers stay valid for
// the lifetime of this object. Thread-safe. Look-ups take a lock, so frequent
// users should store the returned pointer.
class Metrics {
 public:
  // Returns the counter `name` with `labels`, such as `a="b",c="d"`. Creates it
  // if it does not exist.
  Counter* GetCounter(const std::string& name, const std::string& labels = "");

  // Returns the histogram `name` with `labels`. Creates it if it does not
  // exist.
  DurationHistogram* GetHistogram(const std::string& name,
                                  const std::string& labels = "");

  // Adds or replaces the gauge `name`. Each call of Text calls `read` to get
  // its value. `read` must not use this object, because it is called with the
  // lock held.
  void AddGauge(const std::string& name, std::function<double()> read);

  // Returns all metrics in Prometheus's text format.
  std::string Text() const;

 private:
  // Identifies one counter or histogram.
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
