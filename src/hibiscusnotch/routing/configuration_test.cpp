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
  configuration.keys = { { "k1", 0 }, { "k2", 1 } };
  configuration.Index();
  return configuration;
}

} // namespace

TEST_CASE("the longest prefix of the path on that host wins")
{
  const Configuration configuration = MakeConfiguration();
  CHECK(configuration.Match("a.example", "/x/y/z")->name == "narrow");
  CHECK(configuration.Match("a.example", "/x/z")->name == "wide");
  CHECK(configuration.Match("b.example", "/x/y/z")->name == "other");
  CHECK(configuration.Match("a.example", "/x") == nullptr);
  CHECK(configuration.Match("c.example", "/x/") == nullptr);
}

TEST_CASE("a key names its organisation and no other")
{
  const Configuration configuration = MakeConfiguration();
  CHECK(configuration.OrganisationOf("k1")->name == "shop");
  CHECK(configuration.OrganisationOf("k2")->name == "desk");
  CHECK(configuration.OrganisationOf("k") == nullptr);
  CHECK(configuration.OrganisationOf("") == nullptr);
}

TEST_CASE("only idempotent requests and resumable streams are repeatable")
{
  Route route;
  route.repeatability = Repeatability::AtMostOnce;
  CHECK_FALSE(route.Repeatable());
  route.resumable = true;
  CHECK_FALSE(route.Repeatable());
  route.repeatability = Repeatability::Stream;
  CHECK(route.Repeatable());
  route.resumable = false;
  CHECK_FALSE(route.Repeatable());
  route.repeatability = Repeatability::Idempotent;
  CHECK(route.Repeatable());
}
