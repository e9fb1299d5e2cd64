/// @file
/// @brief Strict, incremental HTTP/1.1 message parsers.
#pragma once

#include "hibiscusnotch/net/http_types.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace hibiscusnotch::relay {

/// @brief Progress of a reader.
enum class ReadState
{
  NeedMore,
  Complete,
  Malformed,
};

struct RequestLimits
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
};

/// @brief Parses the consecutive requests of one connection.
///
/// Rejects what another parser could frame differently (request smuggling):
/// bare line feeds, folded fields, several lengths, a length beside a transfer
/// coding.
class RequestReader
{
public:
  virtual ~RequestReader() = default;

  /// @brief Consumes bytes from the front of the buffer.
  virtual ReadState Read(std::string& aBuffer) = 0;
  /// @brief Returns the complete request and resets the reader for the next.
  virtual net::HttpRequest TakeRequest() = 0;
  /// @brief True if the header is complete and the body is not.
  virtual bool WaitsForBody() const = 0;
  /// @brief The most bytes that the body may have: its stated length, or the
  /// limit.
  virtual std::size_t MaxBodyBytes() const = 0;
  /// @brief Bytes of the body that have been read.
  virtual std::size_t ReadBodyBytes() const = 0;
  /// @brief True if the head states the body's length.
  virtual bool HasBodyLength() const = 0;
  /// @brief True if the last request taken allows a persistent connection.
  virtual bool KeepAlive() const = 0;
  /// @brief True if the client awaits 100 Continue before it sends the body.
  virtual bool ExpectsContinue() const = 0;
  /// @brief The status code to reject a malformed request with.
  virtual int ErrorStatus() const = 0;
};

std::unique_ptr<RequestReader>
MakeRequestReader(const RequestLimits& aLimits);

/// @brief A response's status and header fields.
struct ResponseHead
{
  int status = 0;
  std::string reason;
  net::Headers headers;
  bool isSelfDelimited = false; ///< Not ended by a connection close.

  std::string_view Header(std::string_view aName) const
  {
    return net::FindHeader(headers, aName);
  }

  /// @brief Memory that the fields take, about.
  std::size_t HeldBytes() const
  {
    std::size_t bytes = headers.size() * sizeof(headers.front());
    for (const auto& [name, value] : headers) {
      bytes += name.size() + value.size();
    }
    return bytes;
  }
};

/// @brief Parses one response.
///
/// Rejects a status outside 100 to 599, folded fields, and a transfer coding
/// other than chunks, of which a caller would not be told. Interim responses
/// are passed over; a trailer is checked and dropped.
class ResponseReader
{
public:
  virtual ~ResponseReader() = default;

  virtual ReadState Read(std::string& aBuffer) = 0;
  /// @brief Handles the end of the peer's side of the connection.
  virtual ReadState ReadEnd() = 0;
  /// @brief True once a whole head was read and accepted.
  virtual bool HasHead() const = 0;
  virtual const ResponseHead& Head() const = 0;
  /// @brief Body bytes read since the last call.
  virtual std::string TakeBody() = 0;
};

/// @param aBodyless True for a response to HEAD, which has no body.
std::unique_ptr<ResponseReader>
MakeResponseReader(bool aBodyless);

} // namespace hibiscusnotch::relay
