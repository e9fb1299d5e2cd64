/// @file
/// @brief Non-blocking reads and writes on a ready socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace hibiscusnotch::relay {

using boost::asio::ip::tcp;

/// @brief Makes a socket non-blocking, without Nagle's algorithm and with TCP
/// keep-alive.
void
PrepareSocket(tcp::socket& aSocket);

/// @brief Appends what can be read now; `error::eof` once the peer has closed.
void
ReadSome(tcp::socket& aSocket,
         std::string& aBuffer,
         boost::system::error_code& aError);

/// @brief Writes from an offset on; true once the whole buffer is written.
bool
WriteSome(tcp::socket& aSocket,
          const std::string& aBuffer,
          std::size_t& aWritten,
          boost::system::error_code& aError);

} // namespace hibiscusnotch::relay
