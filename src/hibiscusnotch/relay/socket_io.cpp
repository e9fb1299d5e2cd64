#include "socket_io.hpp"

#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hibiscusnotch::relay {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
// Keeps a busy connection from starving the others.
constexpr std::size_t kMaxReadsPerWake = 4;
// Detects a peer that is down or unreachable, or a connection that a middlebox
// dropped, within three seconds, and survives a peer that pauses for a second.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
// Also decides when keep-alive probes give up, whatever their count.
constexpr int kUserTimeoutMs =
  1000 * (kKeepAliveIdleSeconds + kKeepAliveIntervalSeconds * kKeepAliveProbes);

} // namespace

void
PrepareSocket(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.non_blocking(true, ignored);
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int handle = aSocket.native_handle();
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_KEEPIDLE,
             &kKeepAliveIdleSeconds,
             sizeof kKeepAliveIdleSeconds);
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_KEEPINTVL,
             &kKeepAliveIntervalSeconds,
             sizeof kKeepAliveIntervalSeconds);
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_KEEPCNT,
             &kKeepAliveProbes,
             sizeof kKeepAliveProbes);
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &kUserTimeoutMs,
             sizeof kUserTimeoutMs);
}

void
ReadSome(tcp::socket& aSocket,
         std::string& aBuffer,
         boost::system::error_code& aError)
{
  static thread_local std::array<char, kReadBytes> sBytes;
  for (std::size_t round = 0; round < kMaxReadsPerWake; ++round) {
    const std::size_t count =
      aSocket.read_some(boost::asio::buffer(sBytes), aError);
    aBuffer.append(sBytes.data(), count);
    if (aError == boost::asio::error::would_block) {
      aError = {};
      return;
    }
    if (aError || count < sBytes.size()) {
      return;
    }
  }
}

bool
WriteSome(tcp::socket& aSocket,
          const std::string& aBuffer,
          std::size_t& aWritten,
          boost::system::error_code& aError)
{
  while (aWritten < aBuffer.size()) {
    aWritten += aSocket.write_some(
      boost::asio::buffer(aBuffer.data() + aWritten, aBuffer.size() - aWritten),
      aError);
    if (aError == boost::asio::error::would_block) {
      aError = {};
      return false;
    }
    if (aError) {
      return false;
    }
  }
  return true;
}

} // namespace hibiscusnotch::relay
