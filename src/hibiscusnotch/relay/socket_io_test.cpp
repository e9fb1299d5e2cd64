#include "socket_io.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace hibiscusnotch::relay;

namespace {

int
OptionOf(tcp::socket& aSocket, int aLevel, int aOption)
{
  int value = 0;
  socklen_t size = sizeof value;
  getsockopt(aSocket.native_handle(), aLevel, aOption, &value, &size);
  return value;
}

} // namespace

// Guards against a user timeout that cuts off connections to peers that pause
// for a second, or that outlasts the keep-alive probes it overrides.
TEST_CASE("the user timeout agrees with the keep-alive probes")
{
  constexpr int kPauseMs = 1500; // a sound peer's
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.open(tcp::v4());
  PrepareSocket(socket);
  const int userTimeoutMs = OptionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT);
  const int probesMs = 1000 * (OptionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE) +
                               OptionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL) *
                                 OptionOf(socket, IPPROTO_TCP, TCP_KEEPCNT));
  CHECK(OptionOf(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
  CHECK(userTimeoutMs == probesMs);
  CHECK(userTimeoutMs > kPauseMs);
}
