#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"
#include "standins/servers.h"

namespace harecrank::standins {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t kMaxBodyBytes = 8U << 20U;
constexpr std::size_t kMaxValueBytes = 1U << 20U;
constexpr std::chrono::seconds kRateWindow{1};

std::string ReadBodyText(HTTPServerRequest& request) {
  std::string body;
  ReadBody(request, kMaxBodyBytes, &body);
  return body;
}

// An HTTP server that passes each request to Handle.
class SimpleServer : public StandIn {
 public:
  SimpleServer(const std::string& address, int threads) {
    options_.address = address;
    options_.threads = threads;
    options_.queued = threads;
  }

 protected:
  // Each constructor of a derived class calls this last, since requests may
  // arrive at once and need all members.
  void StartServer() {
    server_ = std::make_unique<HttpServer>(
        options_,
        [this](HTTPServerRequest& request, HTTPServerResponse& response) {
          Handle(PathOf(request.getURI()), request, response);
        });
  }
  // Each destructor of a derived class calls this first, for the same reason.
  void StopServer() { server_.reset(); }

  virtual void Handle(const std::string& path, HTTPServerRequest& request,
                      HTTPServerResponse& response) = 0;

 private:
  HttpServerOptions options_;
  std::unique_ptr<HttpServer> server_;
};

class PlainService final : public SimpleServer {
 public:
  explicit PlainService(const std::string& address)
      : SimpleServer(address, 64) {
    StartServer();
  }
  ~PlainService() override { StopServer(); }

 protected:
  void Handle(const std::string& path, HTTPServerRequest& request,
              HTTPServerResponse& response) override {
    const std::string body = ReadBodyText(request);
    if (path == "/control/calls") {
      const std::lock_guard<std::mutex> lock(mutex_);
      SendResponse(response, http_status::kOk, json(calls_).dump());
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++calls_[body];
    }
    const int delay = std::stoi(QueryValue(request.getURI(), "delay_ms", "0"));
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    SendResponse(
        response, http_status::kOk,
        json{{"path", path}, {"method", request.getMethod()}, {"echo", body}}
            .dump());
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> calls_;
};

// A published value and its version.
struct Value {
  std::uint64_t version = 0;
  std::string text;
};

class ConfigServer final : public SimpleServer {
 public:
  explicit ConfigServer(const ConfigServerOptions& options)
      : SimpleServer(options.address, options.threads),
        calls_per_second_(options.calls_per_second) {
    StartServer();
  }
  ~ConfigServer() override { StopServer(); }

 protected:
  void Handle(const std::string& path, HTTPServerRequest& request,
              HTTPServerResponse& response) override {
    const std::string values = "/v1/values/";
    const std::string control = "/control/values/";
    if (path.compare(0, values.size(), values) == 0) {
      HandleRead(path.substr(values.size()), request, response);
    } else if (path.compare(0, control.size(), control) == 0) {
      Publish(path.substr(control.size()), ReadBodyText(request));
      SendResponse(response, http_status::kOk, "{}");
    } else if (path == "/control/fault") {
      HandleFault(json::parse(ReadBodyText(request)));
      SendResponse(response, http_status::kOk, "{}");
    } else if (path == "/control/stats") {
      const std::lock_guard<std::mutex> lock(mutex_);
      SendResponse(response, http_status::kOk,
                   json{{"calls", calls_}, {"refused", rejected_}}.dump());
    } else {
      SendResponse(response, http_status::kNotFound, "{}");
    }
  }

 private:
  void Publish(const std::string& key, std::string text) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      Value& value = values_[key];
      ++value.version;
      value.text = std::move(text);
    }
    changed_.notify_all();
  }

  void HandleFault(const json& fault) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      down_ = fault.value("down", false);
      // A stale service continues to return the values that it had when the
      // fault was set, without any sign of it.
      if (fault.value("stale", false) && !stale_) {
        stale_values_ = values_;
      }
      stale_ = fault.value("stale", false);
    }
    changed_.notify_all();
  }

  void HandleRead(const std::string& key, HTTPServerRequest& request,
                  HTTPServerResponse& response) {
    const std::string& uri = request.getURI();
    const std::uint64_t after = std::stoull(QueryValue(uri, "after", "0"));
    const std::chrono::milliseconds wait(
        std::stoll(QueryValue(uri, "wait_ms", "0")));
    std::unique_lock<std::mutex> lock(mutex_);
    if (!AdmitCall()) {
      lock.unlock();
      SendResponse(response, http_status::kTooManyRequests, "{}");
      return;
    }
    const auto has_changed = [&] {
      return down_ || CurrentValue(key).version != after;
    };
    if (wait.count() > 0) {
      changed_.wait_for(lock, wait, has_changed);
    }
    const bool down = down_;
    const Value value = CurrentValue(key);
    lock.unlock();
    if (down || value.text.size() > kMaxValueBytes) {
      SendResponse(response, http_status::kUnavailable, "{}");
    } else if (value.version == 0) {
      SendResponse(response, http_status::kNotFound, "{}");
    } else if (wait.count() > 0 && value.version == after) {
      SendResponse(response, http_status::kNotModified, "");
    } else {
      SendResponse(
          response, http_status::kOk,
          json{{"version", value.version}, {"value", value.text}}.dump());
    }
  }

  // Counts a call. Returns false if it exceeds the rate limit. Requires the
  // mutex.
  bool AdmitCall() {
    const auto now = Clock::now();
    ++calls_;
    recent_calls_.push_back(now);
    while (recent_calls_.front() < now - kRateWindow) {
      recent_calls_.pop_front();
    }
    if (recent_calls_.size() > static_cast<std::size_t>(calls_per_second_)) {
      ++rejected_;
      return false;
    }
    return true;
  }

  Value CurrentValue(const std::string& key) {
    return stale_ ? stale_values_[key] : values_[key];
  }

  int calls_per_second_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Value> values_;
  std::map<std::string, Value> stale_values_;
  std::deque<Clock::time_point> recent_calls_;
  std::uint64_t calls_ = 0;
  std::uint64_t rejected_ = 0;
  bool down_ = false;
  bool stale_ = false;
};

class HostListServer final : public SimpleServer {
 public:
  HostListServer(const std::string& address, int lag_ms)
      : SimpleServer(address, 64), lag_(lag_ms) {
    StartServer();
  }
  ~HostListServer() override { StopServer(); }

 protected:
  void Handle(const std::string& path, HTTPServerRequest& request,
              HTTPServerResponse& response) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (path == "/control/hosts") {
      pending_.push_back(
          PendingList{Clock::now() + lag_, json::parse(ReadBodyText(request))});
      SendResponse(response, http_status::kOk, "{}");
      return;
    }
    while (!pending_.empty() && pending_.front().visible_at <= Clock::now()) {
      hosts_ = pending_.front().hosts;
      ++version_;
      pending_.pop_front();
    }
    SendResponse(response, http_status::kOk,
                 json{{"version", version_}, {"hosts", hosts_}}.dump());
  }

 private:
  struct PendingList {
    Clock::time_point visible_at;
    json hosts;
  };

  std::chrono::milliseconds lag_;
  std::mutex mutex_;
  std::deque<PendingList> pending_;
  json hosts_ = json::array();
  std::uint64_t version_ = 1;
};

class WeightStore final : public SimpleServer {
 public:
  WeightStore(const std::string& address, int max_concurrent_loads, int load_ms)
      : SimpleServer(address, 64),
        max_concurrent_loads_(max_concurrent_loads),
        load_time_(load_ms) {
    StartServer();
  }
  ~WeightStore() override { StopServer(); }

 protected:
  void Handle(const std::string& path, HTTPServerRequest&,
              HTTPServerResponse& response) override {
    if (path == "/control/stats") {
      SendResponse(
          response, http_status::kOk,
          json{{"loads", loads_.load()}, {"refused", rejected_.load()}}.dump());
      return;
    }
    if (loading_.fetch_add(1) >= max_concurrent_loads_) {
      loading_.fetch_sub(1);
      ++rejected_;
      SendResponse(response, http_status::kTooManyRequests, "{}");
      return;
    }
    ++loads_;
    std::this_thread::sleep_for(load_time_);
    loading_.fetch_sub(1);
    SendResponse(response, http_status::kOk, "{}");
  }

 private:
  int max_concurrent_loads_;
  std::chrono::milliseconds load_time_;
  std::atomic<int> loading_{0};
  std::atomic<int> loads_{0};
  std::atomic<int> rejected_{0};
};

}  // namespace

std::unique_ptr<StandIn> MakePlainService(const std::string& address) {
  return std::make_unique<PlainService>(address);
}

std::unique_ptr<StandIn> MakeConfigServer(const ConfigServerOptions& options) {
  return std::make_unique<ConfigServer>(options);
}

std::unique_ptr<StandIn> MakeHostList(const std::string& address, int lag_ms) {
  return std::make_unique<HostListServer>(address, lag_ms);
}

std::unique_ptr<StandIn> MakeWeightStore(const std::string& address,
                                         int max_concurrent_loads,
                                         int load_ms) {
  return std::make_unique<WeightStore>(address, max_concurrent_loads, load_ms);
}

}  // namespace harecrank::standins
