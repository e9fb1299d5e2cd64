#include "hibiscusnotch/entry/fleet_report.hpp"
#include "hibiscusnotch/store/mirror.hpp"

using namespace hibiscusnotch;

/// Guards against crashes on malformed messages at the peer port.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aModelIndex)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData),
                               aModelIndex);
  std::string reason;
  entry::DecodeFleetReport(bytes, reason);
  store::DecodeMirrorPage(bytes);
  store::DecodeMirrorBatch(bytes);
  store::ParseMirrorTarget(bytes);
  return 0;
}
