#include "hibiscusnotch/replay/trace.hpp"

#include "hibiscusnotch/replay/history.hpp"
#include "hibiscusnotch/replay/trace_generator.hpp"

#include <doctest/doctest.h>
#include <sstream>

using namespace hibiscusnotch::replay;

namespace {

std::string
ReadError(const std::string& aLine)
{
  const History history = MakeHistory(1);
  std::istringstream stream("\n" + aLine + "\n");
  std::string errorMessage;
  const auto trace =
    ReadTrace(history.settings, stream, "t.jsonl", errorMessage);
  CHECK(trace.has_value() == errorMessage.empty());
  return errorMessage;
}

} // namespace

TEST_CASE("a generated trace is valid and the same for the same seed")
{
  const History history = MakeHistory(1);
  std::ostringstream first;
  std::ostringstream second;
  GenerateTrace(history.settings, GeneratorOptions{}, first);
  GenerateTrace(history.settings, GeneratorOptions{}, second);
  CHECK(first.str() == second.str());
  std::istringstream stream(first.str());
  std::string errorMessage;
  const auto trace =
    ReadTrace(history.settings, stream, "t.jsonl", errorMessage);
  CHECK(errorMessage == "");
  REQUIRE(trace.has_value());
  CHECK(trace->lines.size() > 500);
}

TEST_CASE("an error in a trace names file, line, key and value")
{
  CHECK(
    ReadError(R"({"at_ms":1,"organisation":"organisation-0","class":"chat",)"
              R"("request_id":"r","prompt_tokens":3,"extra":true})") == "");
  CHECK(ReadError(R"({"at_ms":1,"organisation":"nobody","class":"chat",)"
                  R"("request_id":"r"})")
          .starts_with("t.jsonl:2: organisation: got \"nobody\""));
  CHECK(ReadError(R"({"at_ms":-4,"event":"zone_out","zone":"zone-0"})")
          .starts_with("t.jsonl:2: at_ms: got \"-4\""));
  CHECK(ReadError(R"({"at_ms":1,"event":"earthquake"})")
          .starts_with("t.jsonl:2: event: got \"earthquake\""));
  CHECK(ReadError("{oops").starts_with("t.jsonl:2: "));
  CHECK(ReadError("[]").starts_with("t.jsonl:2: line"));
}
