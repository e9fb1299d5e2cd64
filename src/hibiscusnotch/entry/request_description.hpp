/// @file
/// @brief Text for the log lines of a request.
#pragma once

#include "exchange.hpp"
#include "hibiscusnotch/entry/fleet_state.hpp"
#include "model_chooser.hpp"

#include <string>
#include <string_view>

namespace hibiscusnotch::entry {

std::string
FormatMilliseconds(Duration aDuration);

/// @brief The request, its age, its attempts and its current upstream.
std::string
DescribeExchange(const Exchange& aExchange, TimePoint aNow);

/// @brief The version and age of the configuration, after a space.
std::string
DescribeConfiguration(const FleetState& aFleet, TimePoint aNow);

/// @brief How the current attempt ended.
std::string
DescribeAttemptEnd(const Exchange& aExchange,
                   relay::CallOutcome aOutcome,
                   std::string_view aWhy,
                   TimePoint aNow);

/// @brief Why a smaller model's poor answer is kept.
std::string
DescribeKeptAnswer(const Attempt& aAttempt,
                   const ModelChooser::Judgement& aJudgement,
                   double aRetryBudgetUsed,
                   std::string_view aCause);

} // namespace hibiscusnotch::entry
