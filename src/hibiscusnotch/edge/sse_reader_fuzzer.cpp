#include "hibiscusnotch/edge/sse_reader.hpp"

#include <cstdint>
#include <cstdlib>

/// Splits the input into pieces whose size is taken from the first byte, and
/// requires the same events as for the unsplit input.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using hibiscusnotch::edge::SseReader;
  if (aSize < 2) {
    return 0;
  }
  const std::string_view text(reinterpret_cast<const char*>(aData) + 1,
                              aSize - 1);
  const std::size_t pieceSize = 1 + aData[0] % 16;
  SseReader splitReader;
  std::vector<std::string> events;
  for (std::size_t at = 0; at < text.size(); at += pieceSize) {
    for (std::string& event : splitReader.Feed(text.substr(at, pieceSize))) {
      events.push_back(std::move(event));
    }
  }
  SseReader wholeReader;
  if (wholeReader.Feed(text) != events) {
    std::abort();
  }
  return 0;
}
