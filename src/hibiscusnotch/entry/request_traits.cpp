#include "request_traits.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/entry/event_log.hpp"

namespace hibiscusnotch::entry {

std::vector<routing::RequestTrait>
TraitsOf(const net::HttpRequest& aRequest, const RequestMetadata& aMetadata)
{
  std::vector<routing::RequestTrait> traits;
  for (const PromptSegment& segment : aMetadata.promptSegments) {
    traits.push_back({ core::StableHash(segment.id),
                       static_cast<uint32_t>(traits.size() + 1) });
  }
  if (!traits.empty()) {
    traits.pop_back();
  }
  const uint64_t whole =
    core::MixHash(core::StableHash(aRequest.target),
                  core::MixHash(core::StableHash(aMetadata.apiKey),
                                core::StableHash(aRequest.body)));
  traits.push_back({ whole, routing::RequestTrait::kWholeRequest });
  return traits;
}

std::string
FormatPromptParts(std::span<const routing::RequestTrait> aTraits)
{
  std::string text;
  for (const routing::RequestTrait& trait : aTraits) {
    if (trait.specificity != routing::RequestTrait::kWholeRequest) {
      text += (text.empty() ? "" : ",") + FormatHash(trait.hash);
    }
  }
  return text;
}

} // namespace hibiscusnotch::entry
