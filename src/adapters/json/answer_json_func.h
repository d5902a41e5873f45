// Encodes answers to callers and operators as JSON with an HTTP status.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "nlohmann/json.hpp"
#include "node/caller_message_type.h"

namespace mangohall {

// An HTTP response.
struct EncodedAnswer {
    int httpStatus = 200;
    // JSON text.
    std::string body;
    // True for an error after which the same request may be sent again.
    bool isRetryable = false;
};

// Encodes an answer of any type. The HTTP status of an error is taken from the error table. A job that has not ended
// yields status 202 (accepted).
EncodedAnswer encodeAnswer(const CallerAnswer& answer);

// Encodes an error that the front end detected itself, for example while it parsed the request.
EncodedAnswer encodeError(const absl::Status& status);

// The body of an error: {"error": {"kind", "message", "retryable", "execution"}}. A revision conflict also has
// "expectedRevision" and "presentRevision".
nlohmann::json toJson(const ErrorAnswer& error);

// A declared resource as JSON: {"kind", "name", "spec", "revision", "changeId"}.
nlohmann::json toJson(const ConfigObject& object);

} // namespace mangohall
