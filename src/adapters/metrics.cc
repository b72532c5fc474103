#include "src/adapters/metrics.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <tuple>
#include <utility>

namespace harecrank {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBuckets = 40;
// Number of significant digits of a printed gauge. Sufficient for a time of day
// in milliseconds.
constexpr int kGaugeDigits = 15;
constexpr double kMinMillis = 0.1;
constexpr double kMaxMillis = 1e6;
constexpr double kNanosPerMilli = 1e6;
constexpr double kMillisPerSecond = 1000.0;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;
using Histogram = bh::histogram<std::tuple<Axis>, Storage>;

std::string FormatLabels(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

}  // namespace

class DurationHistogram::Impl {
 public:
  Impl()
      : histogram_(std::make_tuple(Axis(kBuckets, kMinMillis, kMaxMillis)),
                   Storage()) {}

  void Record(std::chrono::nanoseconds duration) {
    const auto nanos = static_cast<std::uint64_t>(duration.count());
    histogram_(static_cast<double>(nanos) / kNanosPerMilli);
    sum_nanos_.fetch_add(nanos, std::memory_order_relaxed);
  }

  void AppendText(const std::string& name, const std::string& labels,
                  std::string* text) const {
    std::ostringstream out;
    const std::string separator = labels.empty() ? "" : ",";
    std::uint64_t cumulative = 0;
    for (const auto& cell : bh::indexed(histogram_, bh::coverage::all)) {
      cumulative += (*cell).value();
      const double upper = cell.bin(0).upper() / kMillisPerSecond;
      out << name << "_bucket{" << labels << separator << "le=\"";
      if (std::isinf(upper)) {
        out << "+Inf";
      } else {
        out << upper;
      }
      out << "\"} " << cumulative << "\n";
    }
    const double sum = static_cast<double>(sum_nanos_.load()) / kNanosPerMilli /
                       kMillisPerSecond;
    out << name << "_sum" << FormatLabels(labels) << " " << sum << "\n"
        << name << "_count" << FormatLabels(labels) << " " << cumulative
        << "\n";
    *text += out.str();
  }

 private:
  Histogram histogram_;
  std::atomic<std::uint64_t> sum_nanos_{0};
};

DurationHistogram::DurationHistogram() : impl_(std::make_unique<Impl>()) {}
DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::Record(std::chrono::nanoseconds duration) {
  impl_->Record(duration);
}

void DurationHistogram::AppendText(const std::string& name,
                                   const std::string& labels,
                                   std::string* text) const {
  impl_->AppendText(name, labels, text);
}

bool Metrics::Key::operator<(const Key& other) const {
  return std::tie(name, labels) < std::tie(other.name, other.labels);
}

Counter* Metrics::GetCounter(const std::string& name,
                             const std::string& labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& counter = counters_[Key{name, labels}];
  if (counter == nullptr) {
    counter = std::make_unique<Counter>();
  }
  return counter.get();
}

DurationHistogram* Metrics::GetHistogram(const std::string& name,
                                         const std::string& labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& histogram = histograms_[Key{name, labels}];
  if (histogram == nullptr) {
    histogram = std::make_unique<DurationHistogram>();
  }
  return histogram.get();
}

void Metrics::AddGauge(const std::string& name, std::function<double()> read) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gauges_[name] = std::move(read);
}

std::string Metrics::Text() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream out;
  out << std::setprecision(kGaugeDigits);
  std::string previous_name;
  for (const auto& [key, counter] : counters_) {
    if (key.name != previous_name) {
      out << "# TYPE " << key.name << " counter\n";
      previous_name = key.name;
    }
    out << key.name << FormatLabels(key.labels) << " " << counter->Value()
        << "\n";
  }
  for (const auto& [name, read] : gauges_) {
    out << "# TYPE " << name << " gauge\n" << name << " " << read() << "\n";
  }
  std::string text = out.str();
  previous_name.clear();
  for (const auto& [key, histogram] : histograms_) {
    if (key.name != previous_name) {
      text += "# TYPE " + key.name + " histogram\n";
      previous_name = key.name;
    }
    histogram->AppendText(key.name, key.labels, &text);
  }
  return text;
}

}  // namespace harecrank
