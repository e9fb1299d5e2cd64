#include "hibiscusnotch/platform/platform_client.hpp"

#include <charconv>

namespace hibiscusnotch::platform {

namespace {

constexpr core::Duration kCallTimeout{ 1'000'000 };
constexpr core::Duration kWatchTimeout{ 7'000'000 };

std::string
EntityTag(uint64_t aVersion)
{
  return "\"" + std::to_string(aVersion) + "\"";
}

uint64_t
VersionFromEntityTag(const net::HttpResponse& aResponse)
{
  std::string_view tag = net::FindHeader(aResponse.headers, "ETag");
  if (tag.starts_with('"')) {
    tag.remove_prefix(1);
  }
  uint64_t version = 0;
  std::from_chars(tag.data(), tag.data() + tag.size(), version);
  return version;
}

net::HttpCall
MakeHttpCall(const core::Endpoint& aPlatform, const core::CallPlatform& aCall)
{
  net::HttpCall call;
  call.to = aPlatform;
  call.target = "/objects/" + aCall.key;
  call.timeout = kCallTimeout;
  switch (aCall.operation) {
    case core::PlatformOperation::Read:
      break;
    case core::PlatformOperation::Create:
      call.method = "PUT";
      call.headers.emplace_back("If-None-Match", "*");
      call.body = aCall.body;
      break;
    case core::PlatformOperation::Update:
      call.method = "PUT";
      call.headers.emplace_back("If-Match", EntityTag(aCall.version));
      call.body = aCall.body;
      break;
    case core::PlatformOperation::Watch:
      call.target += "?watch=" + std::to_string(aCall.version);
      call.timeout = kWatchTimeout;
      break;
  }
  return call;
}

core::PlatformStatus
StatusOf(net::CallOutcome aOutcome, int aStatus)
{
  if (aOutcome == net::CallOutcome::NotSent) {
    return core::PlatformStatus::Unavailable;
  }
  if (aOutcome == net::CallOutcome::ConnectionLost) {
    return core::PlatformStatus::Lost;
  }
  switch (aStatus) {
    case 200:
    case 201:
      return core::PlatformStatus::Ok;
    case 404:
      return core::PlatformStatus::NotFound;
    case 412:
      return core::PlatformStatus::Conflict;
    case 429:
    case 503:
      return core::PlatformStatus::Unavailable;
    default:
      return core::PlatformStatus::Lost;
  }
}

} // namespace

void
SendCall(net::HttpClient& aClient,
         const core::Endpoint& aPlatform,
         const core::CallPlatform& aCall,
         std::function<void(core::PlatformResponse)> aDone)
{
  aClient.Send(MakeHttpCall(aPlatform, aCall),
               [call = aCall.call, done = std::move(aDone)](
                 net::CallOutcome aOutcome, net::HttpResponse aResponse) {
                 const core::PlatformStatus status =
                   StatusOf(aOutcome, aResponse.status);
                 done(core::PlatformResponse{ call,
                                              status,
                                              VersionFromEntityTag(aResponse),
                                              std::move(aResponse.body) });
               });
}

} // namespace hibiscusnotch::platform
