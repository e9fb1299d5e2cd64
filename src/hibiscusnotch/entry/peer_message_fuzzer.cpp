#include "hibiscusnotch/entry/gossip.hpp"
#include "hibiscusnotch/store/mirror.hpp"

using namespace hibiscusnotch;

/// Bytes from the inner port never end the process.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  entry::FleetState fleet;
  std::string reason;
  entry::ReadGossip(bytes, fleet, core::TimePoint{}, reason);
  entry::ReadLoadMessage(bytes);
  store::ReadMirrorPage(bytes);
  store::ReadMirrorBatch(bytes);
  store::ReadMirrorTarget(bytes);
  return 0;
}
