#include "hibiscusnotch/relay/event_splitter.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::relay;

TEST_CASE("complete events pass unchanged, however the bytes are split")
{
  const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             "versions: 3\nid: 3\ndata: c\n\n";
  for (std::size_t first = 0; first <= stream.size(); ++first) {
    EventSplitter splitter;
    std::string out = splitter.Feed(stream.substr(0, first));
    out += splitter.Feed(stream.substr(first));
    CHECK(out == stream);
    CHECK(splitter.LastId() == "3");
    CHECK(splitter.EventCount() == 3);
    CHECK_FALSE(splitter.HasPartialEvent());
  }
}

TEST_CASE("an incomplete event is buffered and can be dropped")
{
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(splitter.HasPartialEvent());
  CHECK(splitter.LastId() == "1");
  splitter.DropPartialEvent();
  CHECK(splitter.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(splitter.LastId() == "2");
}

TEST_CASE("events pass unchanged byte by byte")
{
  const std::string stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n"
                             "id: 3\ndata: c\n\r\n";
  EventSplitter splitter;
  std::string out;
  for (const char byte : stream) {
    out += splitter.Feed({ &byte, 1 });
  }
  CHECK(out == stream);
  CHECK(splitter.EventCount() == 3);
}

TEST_CASE("an event without end is noticed, in linear time")
{
  // Guards against an upstream whose event fills memory or, searched anew for
  // each piece, takes the processor.
  EventSplitter splitter;
  std::size_t fed = 0;
  while (!splitter.IsEventTooLong() &&
         fed < 4 * EventSplitter::kMaxEventBytes) {
    splitter.Feed("x");
    ++fed;
  }
  CHECK(fed == EventSplitter::kMaxEventBytes + 1);
}
