#include "auburnspring/decision/routing_table.h"

#include <algorithm>

namespace auburnspring {

void RoutingTable::buildIndex() {
  routesByHost_.clear();
  organisationByKey_.clear();
  for (std::size_t i = 0; i < routes.size(); ++i)
    routesByHost_[routes[i].host].push_back(i);
  // Longest prefix first, so that the first match is the longest one.
  for (auto &entry : routesByHost_)
    std::stable_sort(entry.second.begin(), entry.second.end(),
                     [this](std::size_t a, std::size_t b) {
                       return routes[a].pathPrefix.size() >
                              routes[b].pathPrefix.size();
                     });
  for (std::size_t i = 0; i < organisations.size(); ++i)
    for (const std::string &key : organisations[i].keys)
      organisationByKey_[key] = i;
}

const ServedRoute *RoutingTable::match(std::string_view host,
                                       std::string_view path) const {
  const auto found = routesByHost_.find(std::string(host));
  if (found == routesByHost_.end())
    return nullptr;
  for (const std::size_t i : found->second)
    if (path.substr(0, routes[i].pathPrefix.size()) == routes[i].pathPrefix)
      return &routes[i];
  return nullptr;
}

const ServedOrganisation *
RoutingTable::organisationForKey(std::string_view key) const {
  const auto found = organisationByKey_.find(std::string(key));
  return found == organisationByKey_.end() ? nullptr
                                           : &organisations[found->second];
}

const ServedPool *RoutingTable::pool(std::string_view name) const {
  const auto found = pools.find(name);
  return found == pools.end() ? nullptr : &found->second;
}

} // namespace auburnspring
