/// @file
/// @brief Writes numbered log events to a standard stream.
#pragma once

#include "hibiscusnotch/core/log_event.hpp"
#include "hibiscusnotch/core/settings.hpp"

#include <string>

namespace hibiscusnotch::observe {

/// @brief The stream for log lines. A command that prints results logs to the
/// error stream.
enum class LogStream
{
  StandardError,
  StandardOutput,
};

/// @brief Sets layout, level and stream for the whole process.
void
StartLogging(const core::LogSettings& aSettings,
             LogStream aStream = LogStream::StandardError);

/// @brief Writes one event with its number, name and details.
/// @param aSource The instance or stand-in that reports it.
void
WriteEvent(const std::string& aSource, const core::LogEvent& aEvent);

} // namespace hibiscusnotch::observe
