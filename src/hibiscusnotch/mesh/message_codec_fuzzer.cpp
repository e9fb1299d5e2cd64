#include "hibiscusnotch/mesh/message_codec.hpp"

#include <cstdlib>

/// A message that decodes must decode again after it is encoded.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace hibiscusnotch::mesh;
  std::string reason;
  const auto message = DecodeMessage({ aData, aSize }, reason);
  if (message && !DecodeMessage(EncodeMessage(*message), reason)) {
    std::abort();
  }
  return 0;
}
