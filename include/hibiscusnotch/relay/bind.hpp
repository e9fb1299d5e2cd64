/// @file
/// @brief Binds sockets to addresses that another process may still hold.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace hibiscusnotch::relay {

/// @brief How long to wait for an address that a former process holds, or that
/// the machine does not have yet.
inline constexpr std::chrono::microseconds kMaxBindWait{ 5'000'000 };

/// @brief True if the address may become free without a change of settings.
inline bool
IsTemporary(const boost::system::error_code& aError)
{
  return aError == boost::asio::error::address_in_use ||
         aError == boost::system::errc::address_not_available;
}

/// @brief Binds the open socket; blocks while the address is in use or not
/// there yet, for the given time at most.
///
/// Throws boost::system::system_error, which names the address.
template<class Socket>
void
BindWhenFree(Socket& aSocket,
             const typename Socket::protocol_type::endpoint& aEndpoint,
             std::chrono::microseconds aMaxWait = kMaxBindWait)
{
  constexpr std::chrono::milliseconds kRetryInterval{ 20 };
  const auto end = std::chrono::steady_clock::now() + aMaxWait;
  boost::system::error_code error;
  while (aSocket.bind(aEndpoint, error) && IsTemporary(error) &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kRetryInterval);
  }
  if (error) {
    throw boost::system::system_error(error,
                                      "cannot bind to " +
                                        aEndpoint.address().to_string() + ':' +
                                        std::to_string(aEndpoint.port()));
  }
}

} // namespace hibiscusnotch::relay
