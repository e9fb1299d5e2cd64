#include "hibiscusnotch/mesh/mesh_node.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <ctime>
#include <doctest/doctest.h>
#include <sys/resource.h>

using namespace hibiscusnotch;
using namespace hibiscusnotch::mesh;

namespace {

core::Settings
MakeSettings()
{
  core::Settings settings;
  settings.deployment = "mesh-test";
  for (uint16_t i = 0; i < 3; ++i) {
    settings.instances.push_back(
      { "i" + std::to_string(i),
        core::ZoneId{ 0 },
        {},
        { "127.77.0.1", static_cast<uint16_t>(18100 + i) } });
  }
  return settings;
}

/// Runs the context until the condition holds or two seconds have passed.
template<class Condition>
bool
RunUntil(boost::asio::io_context& aContext, Condition aHolds)
{
  for (int i = 0; i < 200 && !aHolds(); ++i) {
    aContext.run_for(std::chrono::milliseconds(10));
    aContext.restart();
  }
  return aHolds();
}

} // namespace

TEST_CASE("messages arrive in order, and a restarted peer is reconnected")
{
  const core::Settings settings = MakeSettings();
  boost::asio::io_context context;
  std::vector<uint64_t> received;
  core::InstanceId from;
  MeshCallbacks callbacks;
  callbacks.onMessage = [&](core::InstanceId aFrom,
                            core::PeerMessage aMessage) {
    from = aFrom;
    received.push_back(
      std::get<core::UpstreamLossNotice>(aMessage).fingerprint);
  };
  const auto sender =
    MakeMeshNode(context, settings, core::InstanceId{ 0 }, {});
  auto receiver =
    MakeMeshNode(context, settings, core::InstanceId{ 1 }, callbacks);
  for (uint64_t i = 0; i < 500; ++i) {
    sender->Send(core::InstanceId{ 1 }, core::UpstreamLossNotice{ i, 1 });
  }
  REQUIRE(RunUntil(context, [&] { return received.size() == 500; }));
  CHECK(from.value == 0);
  for (uint64_t i = 0; i < 500; ++i) {
    CHECK(received[i] == i);
  }
  receiver->Stop();
  receiver.reset();
  context.run_for(std::chrono::milliseconds(50));
  context.restart();
  receiver = MakeMeshNode(context, settings, core::InstanceId{ 1 }, callbacks);
  CHECK(RunUntil(context, [&] {
    sender->Send(core::InstanceId{ 1 }, core::UpstreamLossNotice{ 1000, 1 });
    return received.back() == 1000;
  }));
}

TEST_CASE("messages from an instance with different settings are rejected")
{
  const core::Settings settings = MakeSettings();
  core::Settings other = settings;
  other.instances.push_back({ "one-more", core::ZoneId{ 0 }, {}, {} });
  boost::asio::io_context context;
  std::size_t received = 0;
  std::size_t unreadable = 0;
  MeshCallbacks callbacks;
  callbacks.onMessage = [&](core::InstanceId, const core::PeerMessage&) {
    ++received;
  };
  callbacks.onUnreadable = [&](const std::string&) { ++unreadable; };
  const auto sender = MakeMeshNode(context, other, core::InstanceId{ 0 }, {});
  const auto receiver =
    MakeMeshNode(context, settings, core::InstanceId{ 2 }, callbacks);
  sender->Send(core::InstanceId{ 2 }, core::UpstreamLossNotice{ 1, 1 });
  CHECK(RunUntil(context, [&] { return unreadable > 0; }));
  CHECK(received == 0);
}

// Guards against an instance that keeps a processor busy while a peer waits
// that it has no descriptor for.
TEST_CASE("an instance without free descriptors waits for its peers")
{
  const core::Settings settings = MakeSettings();
  boost::asio::io_context context;
  const auto node = MakeMeshNode(context, settings, core::InstanceId{ 0 }, {});
  boost::asio::ip::tcp::socket peer(context);
  peer.connect({ boost::asio::ip::make_address("127.77.0.1"), 18100 });
  rlimit former{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &former) == 0);
  const rlimit none{ 0, former.rlim_max };
  setrlimit(RLIMIT_NOFILE, &none);
  const std::clock_t before = std::clock();
  context.run_for(std::chrono::milliseconds(500));
  const std::clock_t used = std::clock() - before;
  setrlimit(RLIMIT_NOFILE, &former);
  CHECK(used < CLOCKS_PER_SEC / 20); // a tenth of the time
  context.restart();
  context.run_for(std::chrono::milliseconds(400));
  CHECK(peer.available() > 0); // the settings of the accepted connection
}
