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
Chat()
{
  return { "POST",
           "/v1/chat/completions",
           { { "authorization", "Bearer key-two" } },
           R"({"model":"chat","stream":true,"messages":[]})" };
}

int
FaultStatus(const net::HttpRequest& aRequest)
{
  const core::Settings settings = MakeSettings();
  RequestError fault;
  fault.status = 0;
  const auto read = ReadCallerRequest(settings, aRequest, fault);
  CHECK(read.has_value() == (fault.status == 0));
  return fault.status;
}

} // namespace

TEST_CASE("a chat request is read")
{
  const core::Settings settings = MakeSettings();
  RequestError fault;
  net::HttpRequest request = Chat();
  request.headers.emplace_back("X-Deadline-Ms", "2500");
  const auto read = ReadCallerRequest(settings, request, fault);
  REQUIRE(read.has_value());
  CHECK(read->streaming);
  CHECK(read->arrived.organisation.value == 1);
  CHECK(read->arrived.deadline == core::Duration(2'500'000));
}

TEST_CASE("malformed requests of every kind are refused")
{
  net::HttpRequest request = Chat();
  CHECK(FaultStatus(request) == 0);
  SUBCASE("key")
  {
    request.headers = { { "Authorization", "Bearer wrong" } };
    CHECK(FaultStatus(request) == 401);
    request.headers = {};
    CHECK(FaultStatus(request) == 401);
  }
  SUBCASE("path and method")
  {
    request.target = "/v1/chat/completions/../../admin";
    CHECK(FaultStatus(request) == 404);
    request = Chat();
    request.method = "GET";
    CHECK(FaultStatus(request) == 405);
    request = Chat();
    request.target = "/v1/services/none/booking";
    CHECK(FaultStatus(request) == 404);
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
      CHECK(FaultStatus(request) == 400);
    }
  }
  SUBCASE("names that would end up in keys and headers")
  {
    for (const std::string name : { "a/b", "a b", "../x", "a\r\nb" }) {
      request = Chat();
      request.headers.emplace_back("Idempotency-Key", name);
      CHECK(FaultStatus(request) == 400);
    }
  }
  SUBCASE("a booking without its id")
  {
    request.target = "/v1/services/shop/booking";
    CHECK(FaultStatus(request) == 400);
    request.headers.emplace_back("Idempotency-Key", "id-1");
    CHECK(FaultStatus(request) == 0);
  }
  SUBCASE("deadline")
  {
    request.headers.emplace_back("X-Deadline-Ms", "-5");
    CHECK(FaultStatus(request) == 400);
  }
}

TEST_CASE("a session token holds for its session and organisation alone")
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
