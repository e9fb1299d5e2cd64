#include "hibiscusnotch/relay/http_reader.hpp"

#include "hibiscusnotch/testing/concatenate.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::relay;
using hibiscusnotch::testing::Concatenate;

namespace {

/// The status code that the request is rejected with, or zero.
int
ErrorStatusOf(std::string aBytes, const RequestLimits& aLimits = {})
{
  const auto reader = MakeRequestReader(aLimits);
  return reader->Read(aBytes) == ReadState::Malformed ? reader->ErrorStatus()
                                                      : 0;
}

const std::string kGet = "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("a request parses the same however its bytes are split")
{
  const std::string message = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-Y: Z  z\r\n"
                              "Content-Length: 5\r\n\r\nhello";
  for (std::size_t cut = 0; cut <= message.size(); ++cut) {
    const auto reader = MakeRequestReader({});
    std::string buffer = message.substr(0, cut);
    const ReadState first = reader->Read(buffer);
    CHECK(first ==
          (cut == message.size() ? ReadState::Complete : ReadState::NeedMore));
    buffer += message.substr(cut);
    REQUIRE(reader->Read(buffer) == ReadState::Complete);
    const auto request = reader->TakeRequest();
    CHECK(request.method == "POST");
    CHECK(request.target == "/a/b?c");
    CHECK(request.Header("x-y") == "Z  z");
    CHECK(request.body == "hello");
    CHECK(buffer.empty());
  }
}

TEST_CASE("a chunked body is decoded, and what follows stays in the buffer")
{
  const auto reader = MakeRequestReader({});
  std::string buffer = "POST / HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
                       kGet;
  REQUIRE(reader->Read(buffer) == ReadState::Complete);
  CHECK(reader->TakeRequest().body == "abcde");
  CHECK(buffer == kGet);
  REQUIRE(reader->Read(buffer) == ReadState::Complete);
  CHECK(reader->TakeRequest().target == "/a?b=c");
}

TEST_CASE("requests that parsers could frame differently are rejected")
{
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  CHECK(ErrorStatusOf(kGet) == 0);
  CHECK(ErrorStatusOf("GET / HTTP/1.1\nHost: h\n\n") == 400);
  CHECK(ErrorStatusOf("GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n") == 400);
  CHECK(ErrorStatusOf("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n") ==
        400);
  CHECK(ErrorStatusOf("GET / HTTP/1.1\r\nHost : h\r\n\r\n") == 400);
  CHECK(ErrorStatusOf("GET / HTTP/1.1\r\n\r\n") == 400);
  CHECK(ErrorStatusOf("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n") == 400);
  CHECK(ErrorStatusOf(
          start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx") == 400);
  CHECK(ErrorStatusOf(start + "Content-Length: 1, 1\r\n\r\nx") == 400);
  CHECK(ErrorStatusOf(start + "Content-Length: +1\r\n\r\nx") == 400);
  CHECK(ErrorStatusOf(start +
                      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"
                      "\r\n0\r\n\r\n") == 400);
  CHECK(ErrorStatusOf(start +
                      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"
                      "\r\n0\r\n\r\n") == 400);
  CHECK(ErrorStatusOf(start + "Transfer-Encoding: gzip, chunked\r\n\r\n"
                              "0\r\n\r\n") == 400);
  CHECK(ErrorStatusOf(start + "Transfer-Encoding: xchunked\r\n\r\n") == 400);
  CHECK(ErrorStatusOf(start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n") ==
        400);
  std::string zero = kGet;
  zero.insert(zero.size() - 4, 1, char{ 0 });
  CHECK(ErrorStatusOf(zero) == 400);
}

TEST_CASE("exceeded limits have their own status codes")
{
  RequestLimits limits;
  limits.maxHeaderBytes = 100;
  limits.maxBodyBytes = 10;
  CHECK(ErrorStatusOf("GET / HTTP/1.1\r\nHost: h\r\nX: " +
                        std::string(100, 'x') + "\r\n\r\n",
                      limits) == 431);
  CHECK(ErrorStatusOf("GET / HTTP/1.1\r\nX: " + std::string(100, 'x'),
                      limits) == 431);
  CHECK(
    ErrorStatusOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n",
                  limits) == 413);
  CHECK(ErrorStatusOf("POST / HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n",
                      limits) == 413);
}

TEST_CASE("a response's head is available before its first chunk is complete")
{
  const auto reader = MakeResponseReader(false);
  std::string buffer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "8\r\nab";
  CHECK(reader->Read(buffer) == ReadState::NeedMore);
  REQUIRE(reader->HasHead());
  CHECK(reader->Head().status == 200);
  CHECK(reader->Head().isSelfDelimited);
  buffer += "cdefgh\r\n0\r\n\r\n";
  CHECK(reader->Read(buffer) == ReadState::Complete);
}

TEST_CASE("a truncated response is never complete")
{
  for (const char* message :
       { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5\r\nhello\r\n0\r\n\r\n" }) {
    const std::string text = message;
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
      const auto reader = MakeResponseReader(false);
      std::string buffer = text.substr(0, cut);
      CHECK(reader->Read(buffer) == ReadState::NeedMore);
      CHECK(reader->ReadEnd() == ReadState::Malformed);
    }
  }
}

TEST_CASE("interim responses are passed over, whatever the split")
{
  // Guards against 100 Continue or 103 Early Hints taken for the answer.
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n"
                              "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  const std::string text =
    interim + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    CAPTURE(cut);
    const auto reader = MakeResponseReader(false);
    std::string buffer = text.substr(0, cut);
    const ReadState first = reader->Read(buffer);
    CHECK((first == ReadState::Complete) == (cut == text.size()));
    buffer += text.substr(cut);
    CHECK(reader->Read(buffer) == ReadState::Complete);
    CHECK(reader->Head().status == 200);
    CHECK(reader->TakeBody() == "hello");
  }
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    CAPTURE(cut);
    const auto reader = MakeResponseReader(false);
    std::string buffer = text.substr(0, cut);
    reader->Read(buffer);
    CHECK(reader->ReadEnd() == ReadState::Malformed);
  }
}

TEST_CASE("a switch of protocols and endless interim responses are malformed")
{
  std::string switching = "HTTP/1.1 101 Switching Protocols\r\n\r\n";
  CHECK(MakeResponseReader(false)->Read(switching) == ReadState::Malformed);
  const auto reader = MakeResponseReader(false);
  ReadState state = ReadState::NeedMore;
  for (int count = 0; count < 1000 && state == ReadState::NeedMore; ++count) {
    std::string buffer = "HTTP/1.1 100 Continue\r\n\r\n";
    state = reader->Read(buffer);
  }
  CHECK(state == ReadState::Malformed);
}

TEST_CASE("a response without a length ends when the connection closes")
{
  const auto reader = MakeResponseReader(false);
  std::string buffer = "HTTP/1.1 200 OK\r\n\r\nhello";
  CHECK(reader->Read(buffer) == ReadState::NeedMore);
  CHECK_FALSE(reader->Head().isSelfDelimited);
  CHECK(reader->TakeBody() == "hello");
  CHECK(reader->ReadEnd() == ReadState::Complete);
}

TEST_CASE("bytes that are not a response are malformed")
{
  for (const char* bytes :
       { "garbage\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "\x16\x03\x01\x02\x00" }) {
    const auto reader = MakeResponseReader(false);
    std::string buffer = bytes;
    reader->Read(buffer);
    CHECK(reader->ReadEnd() == ReadState::Malformed);
  }
}

namespace {

/// True if the response is rejected without a head, wherever its bytes are
/// split, also once its connection has ended.
bool
IsRejectedBeforeItsHead(const std::string& aBytes)
{
  for (std::size_t cut = 0; cut <= aBytes.size(); ++cut) {
    const auto reader = MakeResponseReader(false);
    std::string buffer = aBytes.substr(0, cut);
    reader->Read(buffer);
    buffer += aBytes.substr(cut);
    reader->Read(buffer);
    if (reader->ReadEnd() != ReadState::Malformed || reader->HasHead()) {
      return false;
    }
  }
  return true;
}

/// The response's state once all of it was read and its connection has ended.
ReadState
StateOfResponse(std::string aBytes)
{
  const auto reader = MakeResponseReader(false);
  const ReadState state = reader->Read(aBytes);
  return state == ReadState::NeedMore ? reader->ReadEnd() : state;
}

const std::vector<std::string> kBodyForms{
  "Content-Length: 5\r\n\r\nhello",
  "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "\r\nhello",
};

} // namespace

// Guards against a status of three digits that is none, which callers get.
TEST_CASE("a status outside 100 to 599 is malformed")
{
  for (const std::string interim : { "", "HTTP/1.1 102 Processing\r\n\r\n" }) {
    for (const std::string status : { "000", "001", "099", "600", "999" }) {
      for (const std::string& rest : kBodyForms) {
        CAPTURE(interim);
        CAPTURE(status);
        CAPTURE(rest);
        CHECK(IsRejectedBeforeItsHead(
          Concatenate({ interim, "HTTP/1.1 ", status, " OK\r\n", rest })));
      }
    }
  }
  for (const std::string start : { "HTTP/1.1 200 OK",
                                   "HTTP/1.1 200 ",
                                   "HTTP/1.0 200 OK",
                                   "HTTP/1.1 599 Odd",
                                   "HTTP/1.1 102 \r\n\r\nHTTP/1.1 299 Odd" }) {
    for (const std::string& rest : kBodyForms) {
      CAPTURE(start);
      CAPTURE(rest);
      CHECK(StateOfResponse(Concatenate({ start, "\r\n", rest })) ==
            ReadState::Complete);
    }
  }
}

// Guards against heads that are passed on with a line that is no field.
TEST_CASE("a response with a field whose name is no token is malformed")
{
  using namespace std::string_literals;
  const std::string status = "HTTP/1.1 200 OK\r\n";
  for (const std::string& line : { "Bad Name: x"s,
                                   "Bad\tName: x"s,
                                   "Name : x"s,
                                   "Na\x01me: x"s,
                                   "Na\x7fme: x"s,
                                   "Na\0me: x"s,
                                   "Na\x80me: x"s,
                                   ": x"s,
                                   "Name"s,
                                   "Content-Length : 5"s,
                                   "Transfer-Encoding\x0b: chunked"s }) {
    CAPTURE(line);
    for (const std::string& rest : kBodyForms) {
      CAPTURE(rest);
      CHECK(
        IsRejectedBeforeItsHead(Concatenate({ status, line, "\r\n", rest })));
      CHECK(IsRejectedBeforeItsHead(
        Concatenate({ status, "A: b\r\n", line, "\r\n", rest })));
    }
    CHECK(StateOfResponse(Concatenate(
            { status,
              "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
              line,
              "\r\n\r\n" })) == ReadState::Malformed);
  }
}

// Guards against a name with a blank before it, whose line becomes a part of
// the field above: with the length or coding, the body is another one.
TEST_CASE("a response with a folded field is malformed")
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  for (const std::string blank : { " ", "\t", " \t " }) {
    for (const std::string line :
         { "Name: x", "Content-Length: 3", "Transfer-Encoding: chunked" }) {
      for (const std::string before : { "", "A: b\r\n", "A:\r\n" }) {
        CAPTURE(blank);
        CAPTURE(line);
        CAPTURE(before);
        for (const std::string& rest : kBodyForms) {
          CHECK(IsRejectedBeforeItsHead(
            Concatenate({ status, before, blank, line, "\r\n", rest })));
        }
      }
    }
  }
}

// Guards against a body in a coding that the caller is not told of.
TEST_CASE("a response in another transfer coding than chunks is malformed")
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunks = "\r\n5\r\nhello\r\n0\r\n\r\n";
  for (const std::string coding : { "gzip, chunked",
                                    "gzip",
                                    "deflate,chunked",
                                    "unheard-of",
                                    "chunked, gzip",
                                    "chunked, chunked",
                                    "xchunked",
                                    "" }) {
    CAPTURE(coding);
    CHECK(IsRejectedBeforeItsHead(
      Concatenate({ status, "Transfer-Encoding: ", coding, "\r\n", chunks })));
  }
  CHECK(IsRejectedBeforeItsHead(status +
                                "Transfer-Encoding: gzip\r\n"
                                "Transfer-Encoding: chunked\r\n" +
                                chunks));
  for (const std::string coding : { "chunked", "Chunked", " CHUNKED " }) {
    CAPTURE(coding);
    CHECK(StateOfResponse(Concatenate(
            { status, "Transfer-Encoding: ", coding, "\r\n", chunks })) ==
          ReadState::Complete);
  }
}

// Guards against a trailer that counts as a part of the head if it comes with
// it, such as the statement that nothing was executed.
TEST_CASE("a response's trailer is no part of its head")
{
  const std::string head = "HTTP/1.1 200 OK\r\nA: b\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text = head + "5\r\nhello\r\n0\r\nA: c\r\nD: e\r\n\r\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    CAPTURE(cut);
    const auto reader = MakeResponseReader(false);
    std::string buffer = text.substr(0, cut);
    reader->Read(buffer);
    buffer += text.substr(cut);
    CHECK(reader->Read(buffer) == ReadState::Complete);
    CHECK(reader->TakeBody() == "hello");
    CHECK(reader->Head().headers.size() == 2);
    CHECK(reader->Head().Header("D").empty());
  }
}

TEST_CASE("the response to a HEAD request has no body despite its length field")
{
  const auto reader = MakeResponseReader(true);
  std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n";
  CHECK(reader->Read(buffer) == ReadState::Complete);
}

namespace {

/// A message that starts with the prefix and goes on with the unit for ever.
struct EndlessMessage
{
  std::string prefix;
  std::string unit;
};

constexpr std::size_t kPieceBytes = 16 * 1024;
constexpr std::size_t kMaxPieces = 64;
constexpr std::size_t kMaxHeldBytes = 160 * 1024;

/// True if the reader rejects the message before it holds too many bytes.
template<class Reader>
bool
RejectsInTime(Reader& aReader, const EndlessMessage& aMessage)
{
  std::string buffer = aMessage.prefix;
  for (std::size_t piece = 0; piece < kMaxPieces; ++piece) {
    for (std::size_t size = 0; size < kPieceBytes;
         size += aMessage.unit.size()) {
      buffer += aMessage.unit;
    }
    if (aReader.Read(buffer) == ReadState::Malformed) {
      return true;
    }
    if (buffer.size() > kMaxHeldBytes) {
      return false;
    }
  }
  return false;
}

} // namespace

TEST_CASE("a response without end outside its body is rejected")
{
  // Guards against an upstream that fills memory by a head, a chunk's size
  // line or a trailer that does not end.
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const EndlessMessage& message :
       std::vector<EndlessMessage>{ { "", "x" },
                                    { "HTTP/1.1 200 ", "x" },
                                    { "HTTP/1.1 200 OK\r\nX: ", "x" },
                                    { "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
                                    { chunked + "5;", "x" },
                                    { chunked, "0" },
                                    { chunked + "0\r\n", "X: y\r\n" },
                                    { chunked + "0\r\nX: ", "x" } }) {
    CAPTURE(message.prefix);
    CAPTURE(message.unit);
    const auto reader = MakeResponseReader(false);
    CHECK(RejectsInTime(*reader, message));
  }
}

TEST_CASE("a response with thousands of small fields is rejected")
{
  // Guards against heads and trailers that take fifty times their bytes.
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  for (const std::string start : { "HTTP/1.1 200 OK\r\n", chunked.c_str() }) {
    for (const int fields : { 200, 12'000 }) {
      std::string buffer = start;
      for (int field = 0; field < fields; ++field) {
        buffer += "a:\r\n";
      }
      buffer += "\r\n";
      CAPTURE(start);
      CAPTURE(fields);
      const auto reader = MakeResponseReader(false);
      CHECK((reader->Read(buffer) == ReadState::Malformed) == (fields > 200));
    }
  }
}

TEST_CASE("a request without end is rejected")
{
  // Guards against a peer that fills memory by a request that does not end.
  const std::string chunked =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const EndlessMessage& message : std::vector<EndlessMessage>{
         { "", "x" },
         { "", "\r\n" },
         { "GET /", "x" },
         { "GET / HTTP/1.1\r\nHost: h\r\n", "X: y\r\n" },
         { chunked + "5;", "x" },
         { chunked, "0" },
         { chunked, "1\r\nx\r\n" },
         { chunked + "0\r\n", "X: y\r\n" },
         { chunked + "0\r\nX: ", "x" } }) {
    CAPTURE(message.prefix);
    CAPTURE(message.unit);
    RequestLimits limits;
    limits.maxBodyBytes = 64 * 1024;
    const auto reader = MakeRequestReader(limits);
    CHECK(RejectsInTime(*reader, message));
  }
}
