#include "hibiscusnotch/store/mirror_server.hpp"

#include "hibiscusnotch/testing/fake_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <list>

using namespace hibiscusnotch;
using namespace hibiscusnotch::store;
using boost::asio::ip::tcp;

namespace {

/// A port that is free now.
uint16_t
FreePort(boost::asio::io_context& aContext)
{
  const tcp::acceptor acceptor(aContext, { tcp::v4(), 0 });
  return acceptor.local_endpoint().port();
}

} // namespace

TEST_CASE("peers that read no lists hold no more than the budget")
{
  // Guards against a mirror that frozen readers of long lists fill.
  constexpr std::size_t kReaders = 24;
  constexpr std::size_t kBudget = 8UL * 1024 * 1024;
  boost::asio::io_context context;
  const auto timers = relay::MakeTimers(context, relay::BootClock());
  std::size_t most = 0;
  relay::UnsentBudget budget(kBudget, [](const relay::EndedExchange&) {});
  const uint16_t port = FreePort(context);
  const auto server =
    MakeMirrorServer(context, *timers, { "127.0.0.1", port }, &budget);
  Object object = hibiscusnotch::testing::MakeObject("a", 3);
  object.spec = EncodedValue::FromJson(std::string(6'000'000, 'x'));
  server->MirrorOf("k").ApplyList({ object }, { 1, 3 });
  server->SetConnected(true);
  std::list<tcp::socket> readers;
  for (std::size_t reader = 0; reader < kReaders; ++reader) {
    tcp::socket& socket = readers.emplace_back(context);
    socket.open(tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    boost::asio::write(
      socket,
      boost::asio::buffer(std::string("GET /mirror/k HTTP/1.1\r\nHost: h\r\n"
                                      "Connection: close\r\n\r\n")));
    const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(20);
    while (std::chrono::steady_clock::now() < end) {
      context.poll();
      context.restart();
    }
    most = std::max(most, budget.HeldBytes());
  }
  CHECK(budget.EndedCount() > 0);
  CHECK(most <= kBudget);
}
