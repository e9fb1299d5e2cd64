/// @file
/// @brief A header codec with names that tests can write easily.
#pragma once

#include "hibiscusnotch/entry/header_codec.hpp"

#include <sstream>
#include <string>

namespace hibiscusnotch::testing {

/// @brief Uses short header names; the message lists the upstream and the
/// metadata.
class FakeHeaderCodec : public entry::HeaderCodec
{
public:
  entry::RequestMetadata ReadRequest(
    const net::HttpRequest& aRequest) const override
  {
    entry::RequestMetadata metadata;
    metadata.requestId = std::string(aRequest.Header("id"));
    metadata.host = std::string(aRequest.Header("host"));
    metadata.path = aRequest.target;
    metadata.apiKey = std::string(aRequest.Header("key"));
    std::istringstream parts{ std::string(aRequest.Header("parts")) };
    for (std::string part; parts >> part;) {
      metadata.promptSegments.push_back({ part, 100 });
    }
    if (!aRequest.Header("left").empty()) {
      metadata.timeLeft =
        core::Duration{ std::stoll(std::string(aRequest.Header("left"))) *
                        1000 };
    }
    return metadata;
  }
  std::string WriteUpstreamRequest(
    const net::HttpRequest& aRequest,
    const entry::AttemptMetadata& aMetadata) const override
  {
    return aMetadata.upstream + " model=" + aMetadata.model +
           " organisation=" + aMetadata.organisation +
           " after=" + aMetadata.resumeAfter +
           " left=" + std::to_string(aMetadata.timeLeft.count() / 1000) +
           " id=" + std::string(aRequest.Header("id"));
  }
  entry::ResponseMetadata ReadResponse(
    const relay::ResponseHead& aHead) const override
  {
    entry::ResponseMetadata metadata;
    metadata.requestId = std::string(aHead.Header("id"));
    metadata.sealed = !aHead.Header("seal").empty();
    metadata.notExecuted = !aHead.Header("not-run").empty();
    metadata.wrongUpstream = aHead.status == 421;
    metadata.leaving = !aHead.Header("leaving").empty();
    if (!aHead.Header("backoff").empty()) {
      metadata.backoff =
        core::Duration{ std::stoll(std::string(aHead.Header("backoff"))) *
                        1000 };
    }
    if (!aHead.Header("limit").empty()) {
      metadata.requestLimit = std::stod(std::string(aHead.Header("limit")));
    }
    if (!aHead.Header("confidence").empty()) {
      metadata.confidence = std::stoi(std::string(aHead.Header("confidence")));
    }
    return metadata;
  }
  net::Headers ResponseHeaders(const relay::ResponseHead& aHead) const override
  {
    return aHead.headers;
  }
  net::Headers LocalReplyHeaders(const entry::RequestMetadata& /*aMetadata*/,
                                 core::Duration aRetryAfter) const override
  {
    if (aRetryAfter == core::Duration::zero()) {
      return {};
    }
    return { { "retry", std::to_string(aRetryAfter.count()) } };
  }
};

} // namespace hibiscusnotch::testing
