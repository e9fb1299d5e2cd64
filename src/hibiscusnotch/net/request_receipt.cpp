#include "hibiscusnotch/net/request_receipt.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace hibiscusnotch::net {

namespace {

// What servers usually read at once.
constexpr std::size_t kMaxBytesReadAtOnce = 8 * 1024;

} // namespace

bool
MayBeAnsweredUnread(std::size_t aRequestBytes)
{
  return aRequestBytes > kMaxBytesReadAtOnce;
}

std::optional<std::size_t>
UnacknowledgedBytes(int aSocket)
{
  int error = 0;
  socklen_t size = sizeof error;
  int bytes = 0;
  if (getsockopt(aSocket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0 || ioctl(aSocket, SIOCOUTQ, &bytes) != 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(bytes);
}

} // namespace hibiscusnotch::net
