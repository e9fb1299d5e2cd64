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
    metadata.resumeAfter = std::string(aRequest.Header("after"));
    metadata.forwardedModel = std::string(aRequest.Header("settled-model"));
    if (!aRequest.Header("executions").empty()) {
      metadata.forwardedExecutions = static_cast<uint32_t>(
        std::stoul(std::string(aRequest.Header("executions"))));
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
           " organisation=" + aMetadata.organisation + " after=" +
           (aMetadata.resumeAfter.empty()
              ? std::string(aRequest.Header("after"))
              : aMetadata.resumeAfter) +
           " left=" + std::to_string(aMetadata.timeLeft.count() / 1000) +
           " id=" + std::string(aRequest.Header("id"));
  }
  std::string WriteForwardedRequest(
    const net::HttpRequest& aRequest,
    const entry::ForwardMetadata& aMetadata) const override
  {
    std::string message = aRequest.target;
    for (const auto& [name, value] : aRequest.headers) {
      if (name != "left" && name != "executions" && name != "settled-model" &&
          (name != "after" || aMetadata.resumeAfter.empty())) {
        message.append(" ").append(name).append("=").append(value);
      }
    }
    message += " left=" + std::to_string(aMetadata.timeLeft.count() / 1000);
    message += " executions=" + std::to_string(aMetadata.executions);
    if (!aMetadata.resumeAfter.empty()) {
      message += " after=" + aMetadata.resumeAfter;
    }
    if (!aMetadata.model.empty()) {
      message += " settled-model=" + aMetadata.model;
    }
    return message;
  }

  /// @brief The request that a forwarded message holds.
  static net::HttpRequest ParseForwarded(const std::string& aMessage)
  {
    net::HttpRequest request;
    request.method = "POST";
    std::istringstream words(aMessage);
    words >> request.target;
    for (std::string word; words >> word;) {
      const std::size_t equals = word.find('=');
      request.headers.emplace_back(word.substr(0, equals),
                                   word.substr(equals + 1));
    }
    return request;
  }

  std::string WriteLivenessRequest(
    const routing::UpstreamEntry& aUpstream,
    const routing::Service* /*aService*/) const override
  {
    return "alive " + aUpstream.name;
  }
  relay::Sender SenderOf(const routing::UpstreamEntry& aUpstream,
                         const relay::ResponseHead& /*aHead*/,
                         std::string_view aBody) const override
  {
    return aBody == aUpstream.name ? relay::Sender::Peer : relay::Sender::Other;
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
    if (!aHead.Header("load").empty()) {
      std::istringstream load{ std::string(aHead.Header("load")) };
      metadata.load.emplace();
      load >> metadata.load->running >> metadata.load->waiting >>
        metadata.load->slots;
    }
    if (!aHead.Header("brittle").empty()) {
      metadata.bearableRejections =
        std::stod(std::string(aHead.Header("brittle")));
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
