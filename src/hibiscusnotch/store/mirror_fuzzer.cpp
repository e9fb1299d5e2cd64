#include "hibiscusnotch/store/mirror.hpp"

#include <cstdint>
#include <cstdlib>

/// Decodes the input as a mirror's responses and as a query. What was decoded
/// must survive another encoding.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace hibiscusnotch::store;
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  if (const auto page = DecodeMirrorPage(bytes)) {
    const auto again = DecodeMirrorPage(EncodeMirrorPage(*page));
    if (!again || again->items.size() != page->items.size()) {
      std::abort();
    }
  }
  if (const auto batch = DecodeMirrorBatch(bytes)) {
    const auto again = DecodeMirrorBatch(EncodeMirrorBatch(*batch));
    if (!again || again->changes.size() != batch->changes.size()) {
      std::abort();
    }
  }
  ParseMirrorTarget(bytes);
  return 0;
}
