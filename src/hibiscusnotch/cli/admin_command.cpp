#include "commands.hpp"

#include "hibiscusnotch/cli/endpoint_url.hpp"
#include "hibiscusnotch/cli/options.hpp"
#include "hibiscusnotch/net/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::cli {

namespace {

namespace options = boost::program_options;
using Json = nlohmann::json;

constexpr const char* kOperatorKeyVariable = "HIBISCUSNOTCH_OPERATOR_KEY";
constexpr core::Duration kCallTimeout{ 30'000'000 };

constexpr const char* kDescription =
  "Actions:\n"
  "  status                        show the state of one instance\n"
  "  zone-out ZONE, zone-in ZONE   take a zone out, bring it back\n"
  "  rollout VERSION EXPOSURE      share of new requests, 0 to 1\n"
  "  withdraw VERSION              send it no new requests\n"
  "  upstream-leaving UPSTREAM, upstream-serving UPSTREAM\n"
  "                                drain an upstream, undo it\n"
  "The operator's key is read from HIBISCUSNOTCH_OPERATOR_KEY.";

struct ActionSyntax
{
  std::string_view action;
  std::string_view change;
  std::string_view subject; ///< The key of its argument in the change.
};

constexpr std::array kActions{
  ActionSyntax{ "zone-out", "zone_out", "zone" },
  ActionSyntax{ "zone-in", "zone_in", "zone" },
  ActionSyntax{ "rollout", "rollout", "version" },
  ActionSyntax{ "withdraw", "withdraw", "version" },
  ActionSyntax{ "upstream-leaving", "upstream_leaving", "upstream" },
  ActionSyntax{ "upstream-serving", "upstream_serving", "upstream" },
};

/// The change for the given action and arguments, or nothing if they are
/// invalid.
std::optional<Json>
ParseChange(const Arguments& aWords)
{
  for (const ActionSyntax& syntax : kActions) {
    if (syntax.action != aWords.front()) {
      continue;
    }
    const bool rollout = syntax.action == "rollout";
    if (aWords.size() != (rollout ? 3U : 2U)) {
      return std::nullopt;
    }
    Json change{ { "change", syntax.change } };
    change[std::string(syntax.subject)] = aWords[1];
    if (rollout) {
      const Json exposure = Json::parse(aWords[2], nullptr, false);
      if (!exposure.is_number()) {
        return std::nullopt;
      }
      change["exposure"] = exposure;
    }
    return change;
  }
  return std::nullopt;
}

void
PrintResponse(const Json& aBody, const std::string& aOutput)
{
  if (aOutput == "json" || !aBody.is_object()) {
    std::cout << aBody.dump(2) << '\n';
    return;
  }
  for (const auto& [key, value] : aBody.items()) {
    std::cout << key << std::string(key.size() < 18 ? 18 - key.size() : 1, ' ')
              << (value.is_string() ? value.get<std::string>() : value.dump())
              << '\n';
  }
}

int
HandleResponse(net::CallOutcome aOutcome,
               const net::HttpResponse& aResponse,
               const std::string& aOutput)
{
  if (aOutcome != net::CallOutcome::Complete) {
    std::cerr << "hibiscusnotch admin: no response; "
              << (aOutcome == net::CallOutcome::NotSent
                    ? "nothing was sent\n"
                    : "the change may have been accepted\n");
    return kExitFailed;
  }
  PrintResponse(Json::parse(aResponse.body, nullptr, false), aOutput);
  return aResponse.status == 200 ? kExitOk : kExitFailed;
}

} // namespace

int
RunAdmin(const Arguments& aArguments)
{
  options::options_description description("Options");
  auto add = description.add_options();
  add("words", options::value<Arguments>()->required(), "action and arguments");
  add("target",
      options::value<std::string>()->required(),
      "an instance, e.g. http://127.1.1.1:8000");
  add("operator",
      options::value<std::string>()->default_value("operator"),
      "name of the operator, recorded with the change");
  add("output",
      options::value<std::string>()->default_value("table"),
      "table or json");
  const ParsedOptions parsed = ParseOptions(
    "admin ACTION [ARGUMENTS]", kDescription, description, aArguments, "words");
  if (parsed.exit) {
    return *parsed.exit;
  }
  const Arguments words = parsed.values["words"].as<Arguments>();
  const auto target =
    ParseEndpointUrl(parsed.values["target"].as<std::string>());
  const bool status = words.front() == "status" && words.size() == 1;
  const auto change = status ? std::nullopt : ParseChange(words);
  if (!target || (!status && !change)) {
    std::cerr << "hibiscusnotch admin: "
              << (target ? "unknown action or wrong arguments"
                         : "--target: expected "
                           "http://ADDRESS:PORT")
              << "\nTry 'hibiscusnotch admin --help'.\n";
    return kExitUsage;
  }
  const char* key = std::getenv(kOperatorKeyVariable);
  net::HttpCall call;
  call.to = *target;
  call.timeout = kCallTimeout;
  call.method = status ? "GET" : "POST";
  call.target = status ? "/admin/v1/status" : "/admin/v1/changes";
  call.headers = {
    { "Authorization", std::string("Bearer ") + (key ? key : "") },
    { "X-Operator", parsed.values["operator"].as<std::string>() }
  };
  call.body = change ? change->dump() : "";
  boost::asio::io_context context(1);
  const auto client = net::MakeHttpClient(context, nullptr);
  int result = kExitFailed;
  client->Send(
    std::move(call),
    [&](net::CallOutcome aOutcome, const net::HttpResponse& aResponse) {
      result = HandleResponse(
        aOutcome, aResponse, parsed.values["output"].as<std::string>());
      context.stop();
    });
  context.run();
  return result;
}

} // namespace hibiscusnotch::cli
