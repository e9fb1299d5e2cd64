#include "hibiscusnotch/routing/configuration.hpp"

#include <doctest/doctest.h>

using namespace hibiscusnotch::routing;

namespace {

Route
MakeRoute(std::string aName, std::string aHost, std::string aPrefix)
{
  Route route;
  route.name = std::move(aName);
  route.host = std::move(aHost);
  route.pathPrefix = std::move(aPrefix);
  return route;
}

Configuration
MakeConfiguration()
{
  Configuration configuration;
  configuration.routes = { MakeRoute("wide", "a.example", "/x/"),
                           MakeRoute("narrow", "a.example", "/x/y/"),
                           MakeRoute("other", "b.example", "/x/") };
  configuration.organisations = { { "shop", 2 }, { "desk", std::nullopt } };
  configuration.organisationByKey = { { "k1", 0 }, { "k2", 1 } };
  configuration.BuildRouteIndex();
  return configuration;
}

} // namespace

TEST_CASE("the longest matching path prefix of the host wins")
{
  const Configuration configuration = MakeConfiguration();
  CHECK(configuration.FindRoute("a.example", "/x/y/z")->name == "narrow");
  CHECK(configuration.FindRoute("a.example", "/x/z")->name == "wide");
  CHECK(configuration.FindRoute("b.example", "/x/y/z")->name == "other");
  CHECK(configuration.FindRoute("a.example", "/x") == nullptr);
  CHECK(configuration.FindRoute("c.example", "/x/") == nullptr);
}

TEST_CASE("an API key finds its organisation only if it matches exactly")
{
  const Configuration configuration = MakeConfiguration();
  CHECK(configuration.FindOrganisation("k1")->name == "shop");
  CHECK(configuration.FindOrganisation("k2")->name == "desk");
  CHECK(configuration.FindOrganisation("k") == nullptr);
  CHECK(configuration.FindOrganisation("") == nullptr);
}

TEST_CASE("only idempotent requests and resumable streams are retry-safe")
{
  Route route;
  route.executionSemantics = ExecutionSemantics::AtMostOnce;
  CHECK_FALSE(route.RetrySafe());
  route.resumable = true;
  CHECK_FALSE(route.RetrySafe());
  route.executionSemantics = ExecutionSemantics::Stream;
  CHECK(route.RetrySafe());
  route.resumable = false;
  CHECK_FALSE(route.RetrySafe());
  route.executionSemantics = ExecutionSemantics::Idempotent;
  CHECK(route.RetrySafe());
}
