#include "hibiscusnotch/relay/http_reader.hpp"

#include "hibiscusnotch/net/message_syntax.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <optional>

namespace hibiscusnotch::relay {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using View = boost::beast::string_view;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
// Far above what upstreams send; also limits a chunk's size line and trailers.
constexpr std::size_t kMaxResponseHeaderBytes = 64 * 1024;
// A field takes many times its bytes if these are few.
constexpr std::size_t kMaxResponseFields = 512;
// Before a request; RFC 9112, section 2.2, allows at least one.
constexpr std::size_t kMaxBlankLines = 4;
constexpr int kSwitchingProtocols = 101;
// More of them than any upstream has a reason to send.
constexpr std::size_t kMaxInterimResponses = 16;

bool
EqualNoCase(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals(View(aLeft.data(), aLeft.size()),
                               View(aRight.data(), aRight.size()));
}

/// Assembles one message from the callbacks of Beast's parser.
template<bool IsRequest>
class MessageCollector : public http::basic_parser<IsRequest>
{
public:
  std::string method;
  std::string target;
  int status = 0;
  std::string reason;
  net::Headers headers;
  std::string body;
  bool headerDone = false;

private:
  void on_request_impl(http::verb /*aVerb*/,
                       View aMethod,
                       View aTarget,
                       int /*aVersion*/,
                       error_code& aError) override
  {
    aError = {};
    method.assign(aMethod.data(), aMethod.size());
    target.assign(aTarget.data(), aTarget.size());
  }
  void on_response_impl(int aCode,
                        View aReason,
                        int /*aVersion*/,
                        error_code& aError) override
  {
    if (!net::IsValidStatus(aCode)) {
      aError = http::error::bad_status;
      return;
    }
    aError = {};
    status = aCode;
    reason.assign(aReason.data(), aReason.size());
  }
  void on_field_impl(http::field /*aField*/,
                     View aName,
                     View aValue,
                     error_code& aError) override
  {
    if (!IsRequest && headers.size() >= kMaxResponseFields) {
      aError = http::error::header_limit;
      return;
    }
    aError = {};
    headers.emplace_back(std::string(aName.data(), aName.size()),
                         std::string(aValue.data(), aValue.size()));
  }
  void on_header_impl(error_code& aError) override
  {
    aError = {};
    headerDone = true;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         error_code& aError) override
  {
    aError = {};
    if (IsRequest && aLength) {
      body.reserve(static_cast<std::size_t>(*aLength)); // within the limit
    }
  }
  std::size_t on_body_impl(View aBody, error_code& aError) override
  {
    aError = {};
    body.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            View /*aExtensions*/,
                            error_code& aError) override
  {
    aError = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*aRemain*/,
                                 View aBody,
                                 error_code& aError) override
  {
    aError = {};
    body.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_finish_impl(error_code& aError) override { aError = {}; }
};

std::size_t
CountHeader(const net::Headers& aHeaders, std::string_view aName)
{
  std::size_t count = 0;
  for (const auto& [name, value] : aHeaders) {
    count += EqualNoCase(name, aName) ? 1 : 0;
  }
  return count;
}

class StrictRequestReader : public RequestReader
{
public:
  explicit StrictRequestReader(const RequestLimits& aLimits)
    : limits_(aLimits)
  {
    ResetParser();
  }

  ReadState Read(std::string& aBuffer) override
  {
    if (errorStatus_ != 0) {
      return ReadState::Malformed;
    }
    if (!parser_->headerDone && !HeaderIsComplete(aBuffer)) {
      return errorStatus_ == 0 ? ReadState::NeedMore : ReadState::Malformed;
    }
    while (!aBuffer.empty() && !parser_->is_done()) {
      error_code error;
      const std::size_t taken =
        parser_->put(boost::asio::buffer(aBuffer), error);
      aBuffer.erase(0, taken);
      if (error == http::error::need_more) {
        // The rest is part of a chunk's size line or of the trailers.
        if (aBuffer.size() > limits_.maxHeaderBytes) {
          return Fail(kHeaderTooLarge);
        }
        break;
      }
      if (error) {
        return Fail(error == http::error::body_limit ? kPayloadTooLarge
                                                     : kBadRequest);
      }
      if (parser_->headerDone && !FramingIsUnambiguous()) {
        return Fail(kBadRequest);
      }
    }
    return parser_->is_done() ? ReadState::Complete : ReadState::NeedMore;
  }

  net::HttpRequest TakeRequest() override
  {
    net::HttpRequest request{ std::move(parser_->method),
                              std::move(parser_->target),
                              std::move(parser_->headers),
                              std::move(parser_->body) };
    keepAlive_ = parser_->keep_alive();
    ResetParser();
    return request;
  }

  bool WaitsForBody() const override
  {
    return parser_->headerDone && !parser_->is_done();
  }
  std::size_t MaxBodyBytes() const override
  {
    return HasBodyLength()
             ? static_cast<std::size_t>(*parser_->content_length())
             : limits_.maxBodyBytes;
  }
  std::size_t ReadBodyBytes() const override { return parser_->body.size(); }
  bool HasBodyLength() const override
  {
    return parser_->content_length().has_value();
  }
  bool KeepAlive() const override { return keepAlive_; }
  bool ExpectsContinue() const override
  {
    return WaitsForBody() &&
           EqualNoCase(net::FindHeader(parser_->headers, "Expect"),
                       "100-continue");
  }
  int ErrorStatus() const override { return errorStatus_; }

private:
  void ResetParser()
  {
    blankLines_ = 0;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
    parser_->body_limit(limits_.maxBodyBytes);
  }

  ReadState Fail(int aStatus)
  {
    errorStatus_ = aStatus;
    return ReadState::Malformed;
  }

  bool HeaderIsComplete(std::string& aBuffer)
  {
    std::size_t blank = 0;
    while (aBuffer.compare(blank, kLineEnd.size(), kLineEnd) == 0) {
      blank += kLineEnd.size();
      if (++blankLines_ > kMaxBlankLines) {
        errorStatus_ = kBadRequest;
        return false;
      }
    }
    aBuffer.erase(0, blank);
    const std::size_t end = aBuffer.find(kHeaderEnd);
    if (end == std::string::npos) {
      if (aBuffer.size() > limits_.maxHeaderBytes) {
        errorStatus_ = kHeaderTooLarge;
      } else if (aBuffer.find("\n\n") != std::string::npos) {
        errorStatus_ = kBadRequest;
      }
      return false;
    }
    if (end + kHeaderEnd.size() > limits_.maxHeaderBytes) {
      errorStatus_ = kHeaderTooLarge;
      return false;
    }
    if (!net::HasStrictLines(std::string_view(aBuffer).substr(0, end + 2))) {
      errorStatus_ = kBadRequest;
      return false;
    }
    return true;
  }

  bool FramingIsUnambiguous() const
  {
    const net::Headers& headers = parser_->headers;
    const std::string_view coding =
      net::FindHeader(headers, "Transfer-Encoding");
    const std::size_t lengths = CountHeader(headers, "Content-Length");
    const std::string_view length = net::FindHeader(headers, "Content-Length");
    if (length.find_first_not_of("0123456789") != std::string_view::npos) {
      return false; // Beast accepts a list of equal lengths
    }
    return CountHeader(headers, "Host") == 1 && lengths <= 1 &&
           CountHeader(headers, "Transfer-Encoding") <= 1 &&
           (coding.empty() || (EqualNoCase(coding, "chunked") && lengths == 0));
  }

  RequestLimits limits_;
  std::optional<MessageCollector<true>> parser_;
  std::size_t blankLines_ = 0;
  bool keepAlive_ = true;
  int errorStatus_ = 0;
};

class StrictResponseReader : public ResponseReader
{
public:
  explicit StrictResponseReader(bool aBodyless)
    : bodyless_(aBodyless)
  {
    ResetParser();
  }

  ReadState Read(std::string& aBuffer) override
  {
    while (!aBuffer.empty() && !parser_->is_done() && !malformed_) {
      error_code error;
      const bool isHead = !parser_->headerDone;
      // The head alone first, as a trailer's fields are reported like its own.
      parser_->eager(!isHead);
      const std::size_t taken =
        parser_->put(boost::asio::buffer(aBuffer), error);
      // The parser takes whole fields, with their folds.
      if (isHead && !(net::HasStrictLines({ aBuffer.data(), taken }) &&
                      net::HasKnownCoding(parser_->headers))) {
        malformed_ = true;
        break;
      }
      aBuffer.erase(0, taken);
      if (!error && parser_->headerDone && parser_->status / 100 == 1) {
        PassInterimResponse();
        continue;
      }
      UpdateHead();
      if (error == http::error::need_more) {
        malformed_ = aBuffer.size() > kMaxResponseHeaderBytes;
        break;
      }
      malformed_ = malformed_ || error;
    }
    return State();
  }

  ReadState ReadEnd() override
  {
    if (!parser_->headerDone) {
      malformed_ = true;
    } else if (!parser_->is_done()) {
      error_code error;
      parser_->put_eof(error);
      malformed_ = malformed_ || error;
    }
    return State();
  }

  bool HasHead() const override { return head_.status != 0; }
  const ResponseHead& Head() const override { return head_; }
  std::string TakeBody() override { return std::exchange(parser_->body, {}); }

private:
  void ResetParser()
  {
    parser_.emplace();
    parser_->skip(bodyless_);
    parser_->header_limit(kMaxResponseHeaderBytes);
    parser_->body_limit(boost::none);
  }

  /// Goes on with the response that follows (RFC 9110, section 15.2).
  void PassInterimResponse()
  {
    malformed_ = parser_->status == kSwitchingProtocols ||
                 ++interimResponses_ > kMaxInterimResponses;
    ResetParser();
  }

  ReadState State() const
  {
    if (malformed_) {
      return ReadState::Malformed;
    }
    return parser_->is_done() ? ReadState::Complete : ReadState::NeedMore;
  }

  void UpdateHead()
  {
    if (parser_->headerDone && !HasHead()) {
      head_.status = parser_->status;
      head_.reason = parser_->reason;
      head_.headers = parser_->headers;
      head_.isSelfDelimited = !parser_->need_eof();
    }
  }

  bool bodyless_;
  std::optional<MessageCollector<false>> parser_;
  ResponseHead head_;
  std::size_t interimResponses_ = 0;
  bool malformed_ = false;
};

} // namespace

std::unique_ptr<RequestReader>
MakeRequestReader(const RequestLimits& aLimits)
{
  return std::make_unique<StrictRequestReader>(aLimits);
}

std::unique_ptr<ResponseReader>
MakeResponseReader(bool aBodyless)
{
  return std::make_unique<StrictResponseReader>(aBodyless);
}

} // namespace hibiscusnotch::relay
