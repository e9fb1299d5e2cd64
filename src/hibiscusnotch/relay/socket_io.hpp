/// @file
/// @brief Non-blocking reads and writes on a ready socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace hibiscusnotch::relay {

using boost::asio::ip::tcp;

/// @brief Non-blocking, without delay, and dead peers are found.
void
PrepareSocket(tcp::socket& aSocket);

/// @brief Appends what can be read now; `error::eof` at the peer's end.
void
ReadSome(tcp::socket& aSocket,
         std::string& aBuffer,
         boost::system::error_code& aError);

/// @brief Writes from an offset on; true when all is written.
bool
WriteSome(tcp::socket& aSocket,
          const std::string& aBuffer,
          std::size_t& aWritten,
          boost::system::error_code& aError);

} // namespace hibiscusnotch::relay
