#include "hibiscusnotch/relay/event_splitter.hpp"
#include "hibiscusnotch/relay/http_reader.hpp"

#include <cstdlib>

using namespace hibiscusnotch::relay;

/// Whatever the bytes and wherever they are cut, readers agree with themselves.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto whole = MakeRequestReader({});
  std::string atOnce = bytes;
  const ReadState expected = whole->Read(atOnce);
  const auto cut = MakeRequestReader({});
  std::string inParts = bytes.substr(0, aSize / 2);
  ReadState state = cut->Read(inParts);
  if (state != ReadState::Complete) {
    inParts += bytes.substr(aSize / 2);
    state = cut->Read(inParts);
  }
  if (expected == ReadState::Complete && state == ReadState::Malformed) {
    std::abort();
  }
  const auto response = MakeResponseReader(false);
  std::string answer = bytes;
  response->Read(answer);
  response->ReadEnd();
  EventSplitter splitter;
  const std::string events = splitter.Feed(bytes);
  if (!bytes.starts_with(events)) {
    std::abort();
  }
  return 0;
}
