#include "hibiscusnotch/edge/credentials.hpp"
#include "hibiscusnotch/edge/entry_instance.hpp"
#include "hibiscusnotch/net/http_client.hpp"
#include "hibiscusnotch/observe/logger.hpp"
#include "hibiscusnotch/replay/report.hpp"
#include "hibiscusnotch/standin/standin_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

using namespace hibiscusnotch;

namespace {

using Clock = std::chrono::steady_clock;

constexpr const char* kBody =
  R"({"model":"chat","stream":true,"messages":[],)"
  R"("standin":{"prompt_tokens":0,"output_tokens":24}})";

core::Settings
MakeSettings()
{
  core::Settings settings;
  settings.deployment = "latency";
  settings.zones = { { "zone", "region" } };
  settings.services = { { "chat", core::ServiceKind::Engine } };
  settings.versions = { { "model-1", "model", 1, 1 } };
  core::RequestClass chat;
  chat.name = "chat";
  chat.service = core::ServiceId{ 0 };
  chat.deadline = core::Duration(30'000'000);
  chat.versions = { core::VersionId{ 0 } };
  settings.classes = { chat };
  core::Organisation organisation;
  organisation.name = "organisation";
  organisation.versions = chat.versions;
  organisation.keyHashes = { edge::Sha256Hex("key") };
  settings.organisations = { organisation };
  core::Upstream upstream;
  upstream.name = "engine";
  upstream.service = core::ServiceId{ 0 };
  upstream.zone = core::ZoneId{ 0 };
  upstream.versions = chat.versions;
  upstream.capacity = 4000;
  upstream.coldFloor = 4000;
  upstream.endpoint = { "127.88.1.20", 9000 };
  settings.upstreams = { upstream };
  for (uint16_t i = 0; i < 2; ++i) {
    const std::string address = "127.88.1." + std::to_string(i + 1);
    settings.instances.push_back({ "entry-" + std::to_string(i),
                                   core::ZoneId{ 0 },
                                   { address, 8000 },
                                   { address, 8100 } });
  }
  settings.platform.endpoint = { "127.88.9.1", 7000 };
  settings.rater = { "127.88.9.2", 7100 };
  settings.tokenSecret = "secret";
  return settings;
}

/// An io_context that runs on its own thread.
class ContextThread
{
public:
  ContextThread()
    : guard_(boost::asio::make_work_guard(context))
  {
  }
  ~ContextThread() { Stop(); }
  ContextThread(const ContextThread&) = delete;
  ContextThread& operator=(const ContextThread&) = delete;

  void Start()
  {
    thread_ = std::jthread([this] { context.run(); });
  }
  void Stop()
  {
    context.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  boost::asio::io_context context;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    guard_;
  std::jthread thread_;
};

/// Latencies in ms of one path to the engine, direct or routed.
struct Samples
{
  std::vector<double> firstByte;
  std::vector<double> betweenChunks;
  std::vector<double> wholeAnswer;
};

/// Keeps a number of streams open until enough requests have completed.
class LoadGenerator
{
public:
  LoadGenerator(core::Endpoint aTo,
                std::size_t aStreams,
                std::size_t aRequestCount)
    : to_(std::move(aTo))
    , requestCount_(aRequestCount)
    , client_(net::MakeHttpClient(context_, nullptr))
  {
    for (std::size_t i = 0; i < aStreams; ++i) {
      Start();
    }
  }

  Samples Run()
  {
    while (samples_.wholeAnswer.size() < requestCount_) {
      context_.run_one();
    }
    return std::move(samples_);
  }

private:
  struct Stream
  {
    Clock::time_point sent;
    Clock::time_point first;
    Clock::time_point second;
    int chunkCount = 0;
  };

  void Start()
  {
    net::HttpCall call;
    call.to = to_;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.body = kBody;
    call.headers = { { "Authorization", "Bearer key" },
                     { "X-Organisation", "organisation" },
                     { "X-Model-Version", "model-1" },
                     { "X-Request-Id", "direct-" + std::to_string(++started_) },
                     { "X-Attempt-Id", std::to_string(started_) } };
    auto stream = std::make_shared<Stream>();
    stream->sent = Clock::now();
    net::HttpCallObserver observer;
    observer.onHead = [](const net::HttpResponse&) {};
    observer.onData = [stream](std::string_view) {
      const Clock::time_point now = Clock::now();
      ++stream->chunkCount;
      if (stream->chunkCount == 1) {
        stream->first = now;
      } else if (stream->chunkCount == 2) {
        stream->second = now;
      }
    };
    observer.onEnd = [this, stream](net::CallOutcome) {
      const auto milliseconds = [](Clock::duration aTime) {
        return std::chrono::duration<double, std::milli>(aTime).count();
      };
      samples_.firstByte.push_back(milliseconds(stream->first - stream->sent));
      samples_.betweenChunks.push_back(
        milliseconds(stream->second - stream->first));
      samples_.wholeAnswer.push_back(milliseconds(Clock::now() - stream->sent));
      Start();
    };
    client_->Stream(std::move(call), std::move(observer));
  }

  core::Endpoint to_;
  std::size_t requestCount_;
  boost::asio::io_context context_;
  std::unique_ptr<net::HttpClient> client_;
  Samples samples_;
  uint64_t started_ = 0;
};

void
Print(std::size_t aStreams,
      const char* aMetric,
      const std::vector<double>& aDirect,
      const std::vector<double>& aRouted)
{
  const replay::Quantiles direct = replay::QuantilesOf(aDirect);
  const replay::Quantiles routed = replay::QuantilesOf(aRouted);
  std::printf("| %zu | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
              aStreams,
              aMetric,
              direct.p50,
              routed.p50,
              routed.p50 - direct.p50,
              direct.p99,
              routed.p99,
              routed.p99 - direct.p99);
}

} // namespace

/// Prints the latency that an entry instance adds to a stand-in engine.
int
main()
{
  observe::StartLogging({ core::LogLayout::Plain, "error" });
  const core::Settings settings = MakeSettings();
  ContextThread standins;
  ContextThread instances;
  const auto platform =
    standin::MakePlatformServer(standins.context, settings, {});
  const auto rater = standin::MakeRaterServer(standins.context, settings, 1);
  const auto engine = standin::MakeUpstreamServer(
    standins.context, settings, core::UpstreamId{ 0 }, true);
  std::vector<std::unique_ptr<edge::EntryInstance>> entries;
  for (uint32_t i = 0; i < 2; ++i) {
    edge::EntryOptions options;
    options.router.self = core::InstanceId{ i };
    options.router.incarnation = edge::NewIncarnation();
    options.router.cascade = core::AlwaysBest{};
    entries.push_back(
      edge::MakeEntryInstance(instances.context, settings, options));
  }
  standins.Start();
  instances.Start();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  std::puts("| streams | time in ms | direct p50 | routed p50 | added p50 | "
            "direct p99 | routed p99 | added p99 |");
  std::puts("|---|---|---|---|---|---|---|---|");
  for (const auto& [streams, requestCount] :
       { std::pair<std::size_t, std::size_t>{ 1, 30 },
         { 50, 2000 },
         { 500, 5000 } }) {
    const Samples direct =
      LoadGenerator(settings.upstreams[0].endpoint, streams, requestCount)
        .Run();
    const Samples routed =
      LoadGenerator(settings.instances[0].callers, streams, requestCount).Run();
    Print(streams, "first byte", direct.firstByte, routed.firstByte);
    Print(
      streams, "between chunks", direct.betweenChunks, routed.betweenChunks);
    Print(streams, "whole answer", direct.wholeAnswer, routed.wholeAnswer);
  }
  instances.Stop();
  standins.Stop();
  return 0;
}
