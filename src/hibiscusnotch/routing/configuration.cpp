#include "hibiscusnotch/routing/configuration.hpp"

#include <algorithm>

namespace hibiscusnotch::routing {

void
Configuration::BuildRouteIndex()
{
  routesByHost_.clear();
  for (std::size_t index = 0; index < routes.size(); ++index) {
    routesByHost_[routes[index].host].push_back(index);
  }
  for (auto& [host, routeIndices] : routesByHost_) {
    std::ranges::stable_sort(routeIndices,
                             [this](std::size_t aLeft, std::size_t aRight) {
                               return routes[aLeft].pathPrefix.size() >
                                      routes[aRight].pathPrefix.size();
                             });
  }
}

const Route*
Configuration::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto found = routesByHost_.find(aHost);
  if (found == routesByHost_.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    if (aPath.starts_with(routes[index].pathPrefix)) {
      return &routes[index];
    }
  }
  return nullptr;
}

const Organisation*
Configuration::FindOrganisation(std::string_view aKey) const
{
  const auto found = organisationByKey.find(aKey);
  return found == organisationByKey.end() ? nullptr
                                          : &organisations[found->second];
}

const Service*
Configuration::FindService(std::string_view aName) const
{
  const auto found = services.find(aName);
  return found == services.end() ? nullptr : &found->second;
}

} // namespace hibiscusnotch::routing
