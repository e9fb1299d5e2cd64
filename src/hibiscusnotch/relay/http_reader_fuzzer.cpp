#include "hibiscusnotch/relay/event_splitter.hpp"
#include "hibiscusnotch/relay/http_reader.hpp"

#include <cstdlib>

using namespace hibiscusnotch::relay;

/// A request that parses as a whole must not be malformed when its bytes come
/// in two parts; events must be a prefix of the input.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto reader = MakeRequestReader({});
  std::string atOnce = bytes;
  const ReadState expected = reader->Read(atOnce);
  const auto splitReader = MakeRequestReader({});
  std::string inParts = bytes.substr(0, aSize / 2);
  ReadState state = splitReader->Read(inParts);
  if (state != ReadState::Complete) {
    inParts += bytes.substr(aSize / 2);
    state = splitReader->Read(inParts);
  }
  if (expected == ReadState::Complete && state == ReadState::Malformed) {
    std::abort();
  }
  const auto response = MakeResponseReader(false);
  std::string responseBytes = bytes;
  response->Read(responseBytes);
  response->ReadEnd();
  EventSplitter splitter;
  const std::string events = splitter.Feed(bytes);
  if (!bytes.starts_with(events)) {
    std::abort();
  }
  return 0;
}
