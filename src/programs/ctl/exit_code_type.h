// Exit codes of the client. The help text and docs/API.md list them.
#pragma once

namespace mangohall {

enum class ExitCode {
    // The command succeeded.
    Ok = 0,
    // The system rejected the request, or the job failed.
    Refused = 1,
    // Wrong usage or invalid input; nothing was sent.
    Usage = 2,
    // A dry run or a diff found differences.
    Differences = 3,
    // No entry could be reached; nothing was changed.
    Unreachable = 4,
    // The outcome of the request is unknown, or an awaited job has not ended yet.
    OutcomeUnknown = 5,
};

} // namespace mangohall
