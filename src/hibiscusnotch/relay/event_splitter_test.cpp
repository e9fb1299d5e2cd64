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

TEST_CASE("events stop before one whose id does not rise")
{
  // Guards against a source that repeats events, or starts anew, in the middle
  // of a stream.
  for (const char* next : { "2", "1", "0", "02" }) {
    CAPTURE(next);
    const std::string start = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const std::string repeated =
      "id: " + std::string(next) + "\ndata: c\n\nid: 7\ndata: d\n\n";
    for (std::size_t cut = 0; cut <= repeated.size(); ++cut) {
      EventSplitter splitter;
      std::string out = splitter.Feed(start + repeated.substr(0, cut));
      out += splitter.Feed(repeated.substr(cut));
      CHECK(out == start);
      CHECK(splitter.IsOutOfOrder());
      CHECK(splitter.LastId() == "2");
      CHECK(splitter.EventCount() == 2);
      splitter.DropPartialEvent();
      CHECK_FALSE(splitter.IsOutOfOrder());
      CHECK(splitter.Feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    }
  }
}

TEST_CASE("only numbers are compared, and events without an id pass")
{
  const std::string stream =
    "id: 9\ndata: a\n\ndata: b\n\nid: 10\ndata: c\n\n"
    "id: 18446744073709551615\ndata: d\n\nid: x2\ndata: e\n\n"
    "id: x1\ndata: f\n\nid: 99999999999999999999\ndata: g\n\n"
    "id: 3\ndata: h\n\n";
  EventSplitter splitter;
  CHECK(splitter.Feed(stream) == stream);
  CHECK_FALSE(splitter.IsOutOfOrder());
}

TEST_CASE("a stream that goes on after an id starts above it")
{
  EventSplitter splitter;
  splitter.ResumeAfter("12");
  CHECK(splitter.LastId() == "12");
  CHECK(splitter.EventCount() == 0);
  CHECK(splitter.Feed("id: 1\ndata: a\n\n").empty());
  CHECK(splitter.IsOutOfOrder());
}

TEST_CASE("the first id of each source is known")
{
  EventSplitter splitter;
  splitter.BeginSource();
  CHECK(splitter.FirstId().empty());
  splitter.Feed("data: a\n\nid: 3\ndata: b\n\nid: 4\ndata: c\n\n");
  CHECK(splitter.FirstId() == "3");
  splitter.BeginSource();
  CHECK(splitter.FirstId().empty());
  splitter.Feed("id: 6\ndata: d\n\n");
  CHECK(splitter.FirstId() == "6");
  CHECK(splitter.LastId() == "6");
}

TEST_CASE("a stream may go on only after an event with an id")
{
  // Guards against a source that repeats events, as it cannot be told of them.
  EventSplitter splitter;
  CHECK(splitter.IsResumable());
  splitter.Feed(": keeps the connection open\n\n");
  CHECK(splitter.IsResumable());
  splitter.Feed("data: a\n\n");
  CHECK_FALSE(splitter.IsResumable());
  splitter.Feed("id: 1\ndata: b\n\n");
  CHECK(splitter.IsResumable());
  splitter.Feed("id:\ndata: c\n\n");
  CHECK_FALSE(splitter.IsResumable());
  CHECK(splitter.LastId() == "1");
  splitter.Feed("data: d\n\nid: 2\nda");
  CHECK_FALSE(splitter.IsResumable());
  splitter.Feed("ta: e\n\n");
  CHECK(splitter.IsResumable());
}
