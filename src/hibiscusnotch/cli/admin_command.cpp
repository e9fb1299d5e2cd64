#include "commands.hpp"

#include "hibiscusnotch/cli/options.hpp"
#include "hibiscusnotch/cli/target.hpp"
#include "hibiscusnotch/net/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::cli {

namespace {

namespace options = boost::program_options;
using Json = nlohmann::json;

constexpr const char* kKeyVariable = "HIBISCUSNOTCH_OPERATOR_KEY";
constexpr core::Duration kTimeout{ 30'000'000 };

constexpr const char* kAbout =
  "Actions:\n"
  "  status                        what one instance knows\n"
  "  zone-out ZONE, zone-in ZONE   take a zone out, bring it back\n"
  "  rollout VERSION EXPOSURE      share of new work, 0 to 1\n"
  "  withdraw VERSION              no new work\n"
  "  upstream-leaving UPSTREAM, upstream-serving UPSTREAM\n"
  "The operator's key is read from HIBISCUSNOTCH_OPERATOR_KEY.";

struct ActionShape
{
  std::string_view action;
  std::string_view change;
  std::string_view subject; ///< The name of its argument.
};

constexpr std::array kActions{
  ActionShape{ "zone-out", "zone_out", "zone" },
  ActionShape{ "zone-in", "zone_in", "zone" },
  ActionShape{ "rollout", "rollout", "version" },
  ActionShape{ "withdraw", "withdraw", "version" },
  ActionShape{ "upstream-leaving", "upstream_leaving", "upstream" },
  ActionShape{ "upstream-serving", "upstream_serving", "upstream" },
};

/// The change that the words ask for; nothing when they are not understood.
std::optional<Json>
ReadChange(const Arguments& aWords)
{
  for (const ActionShape& shape : kActions) {
    if (shape.action != aWords.front()) {
      continue;
    }
    const bool rollout = shape.action == "rollout";
    if (aWords.size() != (rollout ? 3U : 2U)) {
      return std::nullopt;
    }
    Json change{ { "change", shape.change } };
    change[std::string(shape.subject)] = aWords[1];
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
Print(const Json& aBody, const std::string& aOutput)
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
Finish(net::CallOutcome aOutcome,
       const net::HttpResponse& aReply,
       const std::string& aOutput)
{
  if (aOutcome != net::CallOutcome::Complete) {
    std::cerr << "hibiscusnotch admin: no answer; "
              << (aOutcome == net::CallOutcome::NotSent
                    ? "nothing was sent\n"
                    : "the change may have been accepted\n");
    return kExitFailed;
  }
  Print(Json::parse(aReply.body, nullptr, false), aOutput);
  return aReply.status == 200 ? kExitOk : kExitFailed;
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
      "who changes, for the record");
  add("output",
      options::value<std::string>()->default_value("table"),
      "table or json");
  const ParsedOptions parsed = ParseOptions(
    "admin ACTION [ARGUMENTS]", kAbout, description, aArguments, "words");
  if (parsed.exit) {
    return *parsed.exit;
  }
  const Arguments words = parsed.values["words"].as<Arguments>();
  const auto target = ParseTarget(parsed.values["target"].as<std::string>());
  const bool status = words.front() == "status" && words.size() == 1;
  const auto change = status ? std::nullopt : ReadChange(words);
  if (!target || (!status && !change)) {
    std::cerr << "hibiscusnotch admin: "
              << (target ? "action not understood"
                         : "--target: expected "
                           "http://ADDRESS:PORT")
              << "\nTry 'hibiscusnotch admin --help'.\n";
    return kExitUsage;
  }
  const char* key = std::getenv(kKeyVariable);
  net::HttpCall call;
  call.to = *target;
  call.timeout = kTimeout;
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
  client->Send(std::move(call),
               [&](net::CallOutcome aOutcome, const net::HttpResponse& aReply) {
                 result = Finish(
                   aOutcome, aReply, parsed.values["output"].as<std::string>());
                 context.stop();
               });
  context.run();
  return result;
}

} // namespace hibiscusnotch::cli
