#include "hibiscusnotch/edge/caller_request.hpp"

#include "hibiscusnotch/core/rendezvous.hpp"
#include "hibiscusnotch/edge/credentials.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::edge {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kChatTarget = "/v1/chat/completions";
constexpr std::string_view kServiceTarget = "/v1/services/";
constexpr std::size_t kMaxIdentifierBytes = 200;
constexpr uint32_t kBytesPerToken = 4; ///< Estimates the prompt's tokens.
constexpr int kUnauthorised = 401;
constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kForbidden = 403;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kGatewayTimeout = 504;

/// Request and session ids are copied into storage keys and headers, so
/// separators and control characters are rejected.
bool
IsValidIdentifier(std::string_view aName)
{
  return aName.size() <= kMaxIdentifierBytes &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' ||
                  aChar == '.' || aChar == ':';
         });
}

class RequestReader
{
public:
  RequestReader(const core::Settings& aSettings,
                const net::HttpRequest& aRequest,
                RequestError& aError)
    : settings_(aSettings)
    , request_(aRequest)
    , error_(aError)
  {
  }

  std::optional<CallerRequest> Read()
  {
    const bool read = CheckTargetAndMethod() && ReadKey() && ReadBody() &&
                      ReadService() && ReadClass() && ReadIdentifiers() &&
                      ReadDeadline();
    if (!read) {
      return std::nullopt;
    }
    core::RequestArrived& arrived = result_.arrived;
    arrived.fingerprint = core::StableHash(request_.body);
    arrived.promptTokens =
      static_cast<uint32_t>(request_.body.size() / kBytesPerToken);
    result_.body = request_.body;
    result_.target = request_.target;
    return std::move(result_);
  }

private:
  bool Fail(int aStatus, core::Reason aReason, std::string aDetail)
  {
    error_ = RequestError{ aStatus, aReason, std::move(aDetail) };
    return false;
  }

  bool Malformed(std::string aDetail)
  {
    return Fail(400, core::Reason::MalformedRequest, std::move(aDetail));
  }

  bool CheckTargetAndMethod()
  {
    const bool known = request_.target == kChatTarget ||
                       request_.target.starts_with(kServiceTarget);
    if (!known) {
      return Fail(kNotFound,
                  core::Reason::MalformedRequest,
                  "path: expected /v1/chat/completions or "
                  "/v1/services/NAME/CLASS");
    }
    if (request_.method != "POST") {
      return Fail(
        kNotAllowed, core::Reason::MalformedRequest, "method: expected POST");
    }
    return true;
  }

  bool ReadKey()
  {
    const auto organisation =
      OrganisationOf(settings_, BearerKey(request_.Header("Authorization")));
    if (!organisation) {
      return Fail(kUnauthorised,
                  core::Reason::UnknownKey,
                  "Authorization: expected a known bearer key");
    }
    result_.arrived.organisation = *organisation;
    return true;
  }

  bool ReadBody()
  {
    body_ = Json::parse(request_.body, nullptr, false);
    if (!body_.is_object()) {
      return Malformed("body: expected a JSON object");
    }
    const auto stream = body_.find("stream");
    if (stream != body_.end() && !stream->is_boolean()) {
      return Malformed("stream: expected true or false");
    }
    result_.streaming = stream != body_.end() && stream->get<bool>();
    return true;
  }

  /// The service is in the path, or is the `model` of a chat request.
  bool ReadService()
  {
    std::string name;
    if (request_.target == kChatTarget) {
      const auto model = body_.find("model");
      if (model == body_.end() || !model->is_string()) {
        return Malformed("model: expected the name of a service");
      }
      name = model->get<std::string>();
      if (!body_.contains("messages") || !body_.at("messages").is_array()) {
        return Malformed("messages: expected a list");
      }
      ReadPrefix();
    } else {
      const std::string_view path =
        std::string_view(request_.target).substr(kServiceTarget.size());
      const std::size_t slash = path.find('/');
      name = path.substr(0, slash);
      if (slash != std::string_view::npos) {
        className_ = path.substr(slash + 1);
      }
    }
    const auto service = core::FindByName<core::ServiceId>(
      std::span<const core::Service>(settings_.services), name);
    if (!service) {
      return Fail(kNotFound,
                  core::Reason::MalformedRequest,
                  "service: not declared here");
    }
    service_ = *service;
    return true;
  }

  /// The system message identifies the prompt prefix for cache affinity.
  void ReadPrefix()
  {
    const Json& messages = body_.at("messages");
    const bool system = messages.size() > 1 && messages.at(0).is_object() &&
                        messages.at(0).value("role", Json()) == "system";
    if (system) {
      result_.arrived.prefix = core::StableHash(messages.at(0).dump());
    }
  }

  bool ReadClass()
  {
    const std::string_view header = request_.Header("X-Request-Class");
    if (!header.empty()) {
      className_ = header;
    }
    for (uint32_t i = 0; i < settings_.classes.size(); ++i) {
      const core::RequestClass& requestClass = settings_.classes[i];
      const bool matches =
        requestClass.service == service_ &&
        (className_.empty() || requestClass.name == className_);
      if (matches) {
        result_.arrived.requestClass = core::ClassId{ i };
        return true;
      }
    }
    return Malformed("class: not declared for this service");
  }

  bool ReadIdentifiers()
  {
    core::RequestArrived& arrived = result_.arrived;
    arrived.requestId = request_.Header("Idempotency-Key");
    arrived.session = request_.Header("X-Session-Id");
    if (!IsValidIdentifier(arrived.requestId)) {
      return Malformed("Idempotency-Key: expected at most 200 letters, "
                       "digits or -_.:");
    }
    if (!IsValidIdentifier(arrived.session)) {
      return Malformed("X-Session-Id: expected at most 200 letters, digits "
                       "or -_.:");
    }
    const core::RequestClass& requestClass = settings_.At(arrived.requestClass);
    if (arrived.requestId.empty() && !requestClass.repeatable) {
      return Malformed("Idempotency-Key: needed, since this class runs at "
                       "most once");
    }
    const std::string_view token = request_.Header("X-Session-Token");
    if (!arrived.session.empty() && !token.empty()) {
      const auto version = VerifySessionToken(
        settings_, arrived.organisation, arrived.session, token);
      if (!version) {
        return Fail(kForbidden,
                    core::Reason::MalformedRequest,
                    "X-Session-Token: not signed for this session");
      }
      arrived.pinnedVersion = *version;
    }
    return true;
  }

  bool ReadDeadline()
  {
    const std::string_view text = request_.Header("X-Deadline-Ms");
    if (text.empty()) {
      return true;
    }
    uint32_t milliseconds = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, milliseconds);
    if (error != std::errc() || rest != end || milliseconds == 0) {
      return Malformed("X-Deadline-Ms: expected a whole number above 0");
    }
    result_.arrived.deadline =
      std::min(settings_.At(result_.arrived.requestClass).deadline,
               core::Duration(int64_t{ milliseconds } * 1000));
    return true;
  }

  const core::Settings& settings_;
  const net::HttpRequest& request_;
  RequestError& error_;
  CallerRequest result_;
  Json body_;
  core::ServiceId service_;
  std::string className_;
};

} // namespace

std::optional<CallerRequest>
ReadCallerRequest(const core::Settings& aSettings,
                  const net::HttpRequest& aRequest,
                  RequestError& aError)
{
  return RequestReader(aSettings, aRequest, aError).Read();
}

std::string
RefusalBody(const core::Refusal& aRefusal, const std::string& aDetail)
{
  Json body{ { "verdict", core::ToString(aRefusal.verdict) },
             { "reason", core::ToString(aRefusal.reason) } };
  if (!aDetail.empty()) {
    body["detail"] = aDetail;
  }
  if (aRefusal.retryAfter.count() > 0) {
    body["retry_after_ms"] = core::Milliseconds(aRefusal.retryAfter);
  }
  return body.dump();
}

int
HttpStatusOf(const core::Refusal& aRefusal)
{
  switch (aRefusal.reason) {
    case core::Reason::ForbiddenVersion:
      return kForbidden;
    case core::Reason::QueueFull:
    case core::Reason::DeadlineTooShort:
      return kTooManyRequests;
    case core::Reason::DeadlinePassed:
      return kGatewayTimeout;
    case core::Reason::ClaimInProgress:
    case core::Reason::OutcomeUnknown:
      return kConflict;
    case core::Reason::Quarantined:
      return kUnprocessable;
    default:
      return kUnavailable;
  }
}

} // namespace hibiscusnotch::edge
