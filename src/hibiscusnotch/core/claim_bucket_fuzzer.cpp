#include "hibiscusnotch/core/claim_journal.hpp"

#include <cstdlib>

/// A bucket that can be decoded survives encoding and decoding again.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace hibiscusnotch::core;
  ClaimBucket bucket;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  if (!DecodeBucket(text, bucket)) {
    return 0;
  }
  ClaimBucket again;
  if (!DecodeBucket(EncodeBucket(bucket), again) ||
      again.size() != bucket.size()) {
    std::abort();
  }
  return 0;
}
