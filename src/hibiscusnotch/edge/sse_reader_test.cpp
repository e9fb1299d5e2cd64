#include "hibiscusnotch/edge/sse_reader.hpp"

#include <doctest/doctest.h>

using hibiscusnotch::edge::SseReader;

TEST_CASE("parsed events do not depend on how the stream is split")
{
  const std::string text = ": ping\r\ndata: one\r\n\r\nevent: x\ndata: two\n"
                           "data: lines\n\nid: 3\n\ndata:three\r\r";
  const std::vector<std::string> expected{ "one", "two\nlines", "three" };
  for (std::size_t pieceSize = 1; pieceSize <= text.size(); ++pieceSize) {
    SseReader reader;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < text.size(); at += pieceSize) {
      for (std::string& data : reader.Feed(text.substr(at, pieceSize))) {
        events.push_back(std::move(data));
      }
    }
    CHECK(events == expected);
  }
}

TEST_CASE("an event above the size limit makes the reader fail")
{
  SseReader reader;
  const std::string piece(64 * 1024, 'x');
  for (int i = 0; i < 64; ++i) {
    CHECK(reader.Feed(piece).empty());
  }
  CHECK(reader.Failed());
}
