#include "hibiscusnotch/core/log_event.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace hibiscusnotch::core;

namespace {

std::string
ReadAll(const std::filesystem::path& aFile)
{
  std::ifstream stream(aFile);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

const std::filesystem::path kRoot = HIBISCUSNOTCH_SOURCE_DIR;

} // namespace

TEST_CASE("docs/EVENTS.md lists exactly the events of the catalogue")
{
  const std::string page = ReadAll(kRoot / "docs/EVENTS.md");
  std::set<std::string> listed;
  const std::regex row(R"(\| E(\d+) \| (\w+) \|)");
  for (std::sregex_iterator it(page.begin(), page.end(), row), end; it != end;
       ++it) {
    listed.insert((*it)[1].str() + " " + (*it)[2].str());
  }
  std::set<std::string> known;
  for (const EventDescription& description : EventCatalogue()) {
    known.insert(std::to_string(static_cast<int>(description.number)) + " " +
                 std::string(description.name));
  }
  CHECK(listed == known);
}

TEST_CASE("every event is named in some source and has one catalogue entry")
{
  std::string sources;
  for (const char* folder : { "src", "platform" }) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(kRoot / folder)) {
      const bool source = entry.path().extension() == ".cpp" &&
                          entry.path().filename() != "log_event.cpp";
      if (source) {
        sources += ReadAll(entry.path());
      }
    }
  }
  const std::string header =
    ReadAll(kRoot / "include/hibiscusnotch/core/log_event.hpp");
  const std::regex enumerator(R"(\n  (\w+) = (\d+),)");
  std::size_t count = 0;
  for (std::sregex_iterator it(header.begin(), header.end(), enumerator), end;
       it != end;
       ++it) {
    ++count;
    const std::string name = (*it)[1].str();
    CAPTURE(name);
    CHECK(sources.find("EventNumber::" + name) != std::string::npos);
    CHECK(Describe(static_cast<EventNumber>(std::stoi((*it)[2]))).number ==
          static_cast<EventNumber>(std::stoi((*it)[2])));
  }
  CHECK(count == EventCatalogue().size());
}
