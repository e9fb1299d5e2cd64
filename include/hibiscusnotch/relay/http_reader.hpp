/// @file
/// @brief Strict, incremental readers of HTTP/1.1 messages.
#pragma once

#include "hibiscusnotch/net/http_types.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace hibiscusnotch::relay {

/// @brief What a reader has found so far.
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

/// @brief Reads one request after the other from a connection's bytes.
///
/// Refuses what two readers could frame differently: bare line feeds, folded
/// fields, several lengths, a length beside a transfer coding.
class RequestReader
{
public:
  virtual ~RequestReader() = default;

  /// @brief Takes bytes from the front of the buffer.
  virtual ReadState Read(std::string& aBuffer) = 0;
  /// @brief The request that is complete; the reader starts anew.
  virtual net::HttpRequest Take() = 0;
  /// @brief True once the header is complete and the body is not.
  virtual bool WaitsForBody() const = 0;
  /// @brief True when the client asked to keep the connection.
  virtual bool KeepAlive() const = 0;
  /// @brief True when the client waits for leave to send the body.
  virtual bool ExpectsContinue() const = 0;
  /// @brief The status code of the fault.
  virtual int Fault() const = 0;
};

std::unique_ptr<RequestReader>
MakeRequestReader(const RequestLimits& aLimits);

/// @brief A response's status and header fields.
struct ResponseHead
{
  int status = 0;
  std::string reason;
  net::Headers headers;
  bool hasLength = false; ///< Its end is told by framing, not by a close.

  std::string_view Header(std::string_view aName) const
  {
    return net::FindHeader(headers, aName);
  }
};

/// @brief Reads one response.
class ResponseReader
{
public:
  virtual ~ResponseReader() = default;

  virtual ReadState Read(std::string& aBuffer) = 0;
  /// @brief The peer ended its side of the connection.
  virtual ReadState ReadEnd() = 0;
  virtual bool HasHead() const = 0;
  virtual const ResponseHead& Head() const = 0;
  /// @brief Body bytes read since the last call.
  virtual std::string TakeBody() = 0;
};

/// @param aBodyless True for an answer to HEAD, which has no body.
std::unique_ptr<ResponseReader>
MakeResponseReader(bool aBodyless);

} // namespace hibiscusnotch::relay
