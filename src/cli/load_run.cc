#include "src/cli/load_run.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <deque>
#include <iomanip>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kBytesPerToken = 4;
constexpr double kMedian = 0.50;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;
// Added to a request's time limit to give the time-out of the HTTP call.
constexpr Millis kTimeoutMargin{5000};

// One prompt length of the mix, with its share of the requests.
struct MixPart {
  std::int64_t tokens = 0;
  double share = 0;
};

// One request and the time at which it must be sent.
struct Arrival {
  Clock::time_point due;
  // Length of the prompt.
  std::int64_t tokens = 0;
  std::uint64_t seed = 0;
  std::string target;
};

// The measurements of one request.
struct RequestMeasurement {
  // Length of the prompt.
  std::int64_t tokens = 0;
  // Whether the answer was complete.
  bool answered = false;
  int status = 0;
  std::string error;
  // Time from the due time to the first token event of the answer.
  double first_ms = 0;
  // Time from the due time to the end of the answer.
  double total_ms = 0;
  // Longest time between two consecutive token events of the answer.
  double worst_gap_ms = 0;
};

std::vector<MixPart> ParseMix(const std::vector<std::string>& mix) {
  std::vector<MixPart> mix_parts;
  for (const std::string& text : mix) {
    const auto colon = text.find(':');
    MixPart part;
    part.tokens = std::stoll(text.substr(0, colon));
    part.share =
        colon == std::string::npos ? 1 : std::stod(text.substr(colon + 1));
    mix_parts.push_back(part);
  }
  return mix_parts;
}

// Returns the arrivals of a Poisson process. They are generated in advance, so
// that the load depends only on the plan and its seed.
std::deque<Arrival> DrawArrivals(const LoadPlan& plan,
                                 Clock::time_point start) {
  std::mt19937_64 random(plan.seed);
  std::exponential_distribution<double> gap(plan.rate);
  const auto mix_parts = ParseMix(plan.mix);
  std::vector<double> shares;
  shares.reserve(mix_parts.size());
  for (const MixPart& part : mix_parts) {
    shares.push_back(part.share);
  }
  std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
  std::deque<Arrival> arrivals;
  auto due = start;
  while (!plan.single_request || arrivals.empty()) {
    due += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(gap(random)));
    if (plan.single_request) {
      due = start;
    } else if (due - start >= std::chrono::duration<double>(plan.seconds)) {
      break;
    }
    Arrival arrival;
    arrival.due = due;
    arrival.tokens = mix_parts[pick(random)].tokens;
    arrival.seed = random();
    arrival.target = plan.targets[random() % plan.targets.size()];
    arrivals.push_back(std::move(arrival));
  }
  return arrivals;
}

// Returns a prompt of about `tokens` tokens. It starts with the seed, so that
// different prompts share no prefix.
std::string MakePrompt(std::int64_t tokens, std::uint64_t seed) {
  std::string prompt = std::to_string(seed) + " ";
  const std::size_t bytes = static_cast<std::size_t>(tokens) * kBytesPerToken;
  while (prompt.size() < bytes) {
    prompt += "word ";
  }
  prompt.resize(bytes);
  return prompt;
}

HttpCall MakeCall(const LoadPlan& plan, const Arrival& arrival) {
  HttpCall call;
  call.method = "POST";
  call.timeout = Millis(plan.time_limit_ms) + kTimeoutMargin;
  json body{{"model", plan.model},
            {"prompt", MakePrompt(arrival.tokens, arrival.seed)},
            {"max_tokens", plan.answer_tokens}};
  if (plan.engine_address.empty()) {
    call.address = arrival.target;
    call.path = "/v1/completions";
    body["stream"] = true;
    call.fields = {
        {"Authorization", "Bearer " + plan.key},
        {"Harecrank-Time-Limit-Ms", std::to_string(plan.time_limit_ms)}};
  } else {
    call.address = plan.engine_address;
    call.path = "/v1/streams";
    body["id"] = "load-" + std::to_string(arrival.seed);
    body["owner"] = 1;
  }
  call.body = body.dump();
  return call;
}

// Reads the answer to one request and measures the times of its token events.
class AnswerReader {
 public:
  AnswerReader(Clock::time_point start, bool is_direct,
               RequestMeasurement* sample)
      : start_(start),
        last_token_at_(start),
        is_direct_(is_direct),
        sample_(sample) {}

  void Read(int status, std::istream& body) {
    sample_->status = status;
    std::string line;
    while (std::getline(body, line)) {
      if (status != http_status::kOk) {
        sample_->error = ErrorCode(line);
        return;
      }
      ProcessLine(line);
    }
    sample_->total_ms = MillisSince(start_);
  }

 private:
  void ProcessLine(const std::string& line) {
    if (line == "event: done" ||
        (is_direct_ && line.find("\"length\"") != std::string::npos)) {
      sample_->answered = true;
      return;
    }
    if (line == "event: error") {
      sample_->error = "in_stream";
      return;
    }
    const bool part = is_direct_ ? line.find("\"t\"") != std::string::npos
                                 : line.compare(0, 7, "data: {") == 0;
    if (!part || sample_->answered) {
      return;
    }
    if (sample_->first_ms == 0) {
      sample_->first_ms = MillisSince(start_);
    } else {
      sample_->worst_gap_ms =
          std::max(sample_->worst_gap_ms, MillisSince(last_token_at_));
    }
    last_token_at_ = Clock::now();
  }

  static std::string ErrorCode(const std::string& line) {
    const json body = json::parse(line, nullptr, false);
    return body.is_object() && body.contains("error") &&
                   body["error"].is_object()
               ? body["error"].value("code", std::string("unnamed"))
               : std::string("unnamed");
  }

  static double MillisSince(Clock::time_point begin) {
    return std::chrono::duration<double, std::milli>(Clock::now() - begin)
        .count();
  }

  Clock::time_point start_;
  Clock::time_point last_token_at_;
  bool is_direct_;
  RequestMeasurement* sample_;
};

RequestMeasurement Send(const LoadPlan& plan, const Arrival& arrival) {
  RequestMeasurement sample;
  sample.tokens = arrival.tokens;
  const HttpCall call = MakeCall(plan, arrival);
  // Times are measured from the due time, so that they include the delay if the
  // load generator falls behind its schedule.
  AnswerReader reader(arrival.due, !plan.engine_address.empty(), &sample);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        return StreamHttp(call, [&](int status, std::istream& body) {
          reader.Read(status, body);
        });
      },
      [&](const HttpError& error) { sample.error = Describe(error); },
      [&] { sample.error = "unexpected error type"; });
  return sample;
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double index = share * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(index))];
}

// Returns the statistics of the requests of one prompt length.
json Summarise(const std::vector<RequestMeasurement>& samples) {
  std::vector<double> first;
  std::vector<double> gaps;
  std::map<std::string, int> errors;
  for (const RequestMeasurement& sample : samples) {
    if (sample.answered) {
      first.push_back(sample.first_ms);
      gaps.push_back(sample.worst_gap_ms);
    } else {
      ++errors[sample.error];
    }
  }
  return json{{"sent", samples.size()},
              {"answered", first.size()},
              {"first_ms_p50", Percentile(first, kMedian)},
              {"first_ms_p95", Percentile(first, kP95)},
              {"first_ms_p99", Percentile(first, kP99)},
              {"worst_gap_ms_p95", Percentile(gaps, kP95)},
              {"errors", errors}};
}

LoadRunReport Report(const LoadPlan& plan,
                     const std::vector<RequestMeasurement>& samples,
                     double elapsed) {
  std::map<std::int64_t, std::vector<RequestMeasurement>> by_length;
  LoadRunReport report;
  for (const RequestMeasurement& sample : samples) {
    by_length[sample.tokens].push_back(sample);
    report.answered += sample.answered ? 1 : 0;
  }
  json out{
      {"rate", plan.rate},
      {"seconds", elapsed},
      {"answered", report.answered},
      {"answered_per_second", static_cast<double>(report.answered) / elapsed}};
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  text << "prompt tokens   sent  answered  first p50  p95  p99 ms  worst gap "
          "p95 ms  errors\n";
  for (const auto& [tokens, group] : by_length) {
    const json line = Summarise(group);
    out["lengths"][std::to_string(tokens)] = line;
    text << std::setw(13) << tokens << std::setw(7) << line["sent"].get<int>()
         << std::setw(10) << line["answered"].get<int>() << std::setw(11)
         << line["first_ms_p50"].get<double>() << std::setw(9)
         << line["first_ms_p95"].get<double>() << std::setw(9)
         << line["first_ms_p99"].get<double>() << std::setw(12)
         << line["worst_gap_ms_p95"].get<double>() << "  "
         << line["errors"].dump() << "\n";
  }
  text << "answered " << report.answered << " of " << samples.size() << ", "
       << static_cast<double>(report.answered) / elapsed << " a second\n";
  report.text = text.str();
  report.json = out.dump(2);
  return report;
}

}  // namespace

LoadRunReport RunLoad(const LoadPlan& plan) {
  const auto start = Clock::now();
  std::deque<Arrival> arrivals = DrawArrivals(plan, start);
  std::mutex mutex;
  std::vector<RequestMeasurement> samples;
  const auto run_sender = [&] {
    while (true) {
      Arrival arrival;
      {
        const std::lock_guard<std::mutex> lock(mutex);
        if (arrivals.empty()) {
          return;
        }
        arrival = std::move(arrivals.front());
        arrivals.pop_front();
      }
      std::this_thread::sleep_until(arrival.due);
      RequestMeasurement sample = Send(plan, arrival);
      const std::lock_guard<std::mutex> lock(mutex);
      samples.push_back(std::move(sample));
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(plan.threads));
  for (int i = 0; i < plan.threads; ++i) {
    threads.emplace_back(run_sender);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  return Report(plan, samples, elapsed.count());
}

}  // namespace harecrank
