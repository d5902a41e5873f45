// Logging in JSON lines.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "core/name_type.h"

namespace mangohall {

// The severity of a log line, in ascending order.
enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

// Context of a log line. Empty fields are not written.
struct LogFields {
    // The identifier of the request.
    std::string request;
    // The identifier of the job.
    std::string job;
    std::string organisation;
    std::string shard;
    // The ownership epoch of the shard; not written if 0.
    Epoch epoch = 0;
};

// Sets up logging of lines of the given level and above. They are appended to the file, or written to standard error if
// the path is empty. Call it once, before any line is logged. `level` is one of "debug", "info", "warn" and "error".
void setUpLogging(absl::string_view level, const std::string& filePath);

// Logs one line. Safe to call from several threads.
void logLine(LogLevel level, absl::string_view message, const LogFields& fields = LogFields());

} // namespace mangohall
