#include "hibiscusnotch/edge/caller_request.hpp"

#include "hibiscusnotch/edge/credentials.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch;
using namespace hibiscusnotch::edge;

namespace {

core::Settings
MakeSettings()
{
  core::Settings settings;
  settings.services = { { "chat", core::ServiceKind::Engine },
                        { "shop", core::ServiceKind::Plain } };
  settings.versions = { { "v1", "m", 1, 1 }, { "v2", "m", 1, 1 } };
  core::RequestClass chat;
  chat.name = "chat";
  chat.deadline = core::Duration(10'000'000);
  chat.service = core::ServiceId{ 0 };
  core::RequestClass booking;
  booking.name = "booking";
  booking.service = core::ServiceId{ 1 };
  booking.repeatable = false;
  settings.classes = { chat, booking };
  for (const std::string name : { "one", "two" }) {
    core::Organisation organisation;
    organisation.name = name;
    organisation.keyHashes = { Sha256Hex("key-" + name) };
    settings.organisations.push_back(organisation);
  }
  settings.tokenSecret = "secret";
  return settings;
}

net::HttpRequest
ChatRequest()
{
  return { "POST",
           "/v1/chat/completions",
           { { "authorization", "Bearer key-two" } },
           R"({"model":"chat","stream":true,"messages":[]})" };
}

int
ErrorStatus(const net::HttpRequest& aRequest)
{
  const core::Settings settings = MakeSettings();
  RequestError error;
  error.status = 0;
  const auto read = ReadCallerRequest(settings, aRequest, error);
  CHECK(read.has_value() == (error.status == 0));
  return error.status;
}

} // namespace

TEST_CASE("a valid chat request is parsed")
{
  const core::Settings settings = MakeSettings();
  RequestError error;
  net::HttpRequest request = ChatRequest();
  request.headers.emplace_back("X-Deadline-Ms", "2500");
  const auto read = ReadCallerRequest(settings, request, error);
  REQUIRE(read.has_value());
  CHECK(read->streaming);
  CHECK(read->arrived.organisation.value == 1);
  CHECK(read->arrived.deadline == core::Duration(2'500'000));
}

TEST_CASE("invalid requests are refused with the matching HTTP status")
{
  net::HttpRequest request = ChatRequest();
  CHECK(ErrorStatus(request) == 0);
  SUBCASE("key")
  {
    request.headers = { { "Authorization", "Bearer wrong" } };
    CHECK(ErrorStatus(request) == 401);
    request.headers = {};
    CHECK(ErrorStatus(request) == 401);
  }
  SUBCASE("path and method")
  {
    request.target = "/v1/chat/completions/../../admin";
    CHECK(ErrorStatus(request) == 404);
    request = ChatRequest();
    request.method = "GET";
    CHECK(ErrorStatus(request) == 405);
    request = ChatRequest();
    request.target = "/v1/services/none/booking";
    CHECK(ErrorStatus(request) == 404);
  }
  SUBCASE("body")
  {
    for (const std::string body :
         { "",
           "[]",
           "{",
           R"({"model":1,"messages":[]})",
           R"({"model":"chat"})",
           R"({"model":"chat","messages":[],"stream":"yes"})" }) {
      request.body = body;
      CHECK(ErrorStatus(request) == 400);
    }
  }
  SUBCASE("ids that could escape a storage key or a header")
  {
    for (const std::string name : { "a/b", "a b", "../x", "a\r\nb" }) {
      request = ChatRequest();
      request.headers.emplace_back("Idempotency-Key", name);
      CHECK(ErrorStatus(request) == 400);
    }
  }
  SUBCASE("a non-repeatable request without an idempotency key")
  {
    request.target = "/v1/services/shop/booking";
    CHECK(ErrorStatus(request) == 400);
    request.headers.emplace_back("Idempotency-Key", "id-1");
    CHECK(ErrorStatus(request) == 0);
  }
  SUBCASE("deadline")
  {
    request.headers.emplace_back("X-Deadline-Ms", "-5");
    CHECK(ErrorStatus(request) == 400);
  }
}

TEST_CASE("a session token is valid for its session and organisation only")
{
  const core::Settings settings = MakeSettings();
  const core::OrganisationId one{ 0 };
  const core::OrganisationId two{ 1 };
  const std::string token =
    SignSessionToken(settings, one, "s", core::VersionId{ 1 });
  CHECK(VerifySessionToken(settings, one, "s", token) == core::VersionId{ 1 });
  CHECK_FALSE(VerifySessionToken(settings, two, "s", token));
  CHECK_FALSE(VerifySessionToken(settings, one, "t", token));
  CHECK_FALSE(
    VerifySessionToken(settings, one, "s", "v2" + token.substr(2) + "0"));
  CHECK_FALSE(VerifySessionToken(settings, one, "s", "v1" + token.substr(2)));
  CHECK_FALSE(VerifySessionToken(settings, one, "s", "nonsense"));
}
