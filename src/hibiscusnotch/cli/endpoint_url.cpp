#include "hibiscusnotch/cli/endpoint_url.hpp"

#include <charconv>

namespace hibiscusnotch::cli {

std::optional<core::Endpoint>
ParseEndpointUrl(const std::string& aUrl)
{
  constexpr std::string_view kScheme = "http://";
  std::string_view rest = aUrl;
  if (!rest.starts_with(kScheme)) {
    return std::nullopt;
  }
  rest.remove_prefix(kScheme.size());
  if (rest.ends_with('/')) {
    rest.remove_suffix(1);
  }
  const std::size_t colon = rest.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  core::Endpoint endpoint{ std::string(rest.substr(0, colon)), 0 };
  const std::string_view port = rest.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [stop, error] = std::from_chars(port.data(), end, endpoint.port);
  if (error != std::errc() || stop != end || endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

} // namespace hibiscusnotch::cli
