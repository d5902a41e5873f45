// Builds requests about jobs and evaluates their replies.
#pragma once

#include <string>

#include "programs/ctl/command_base.h"

namespace mangohall {

// Options of the commands that act on a job.
struct JobOptions {
    // Organisation of the job, given by operators; empty otherwise, as a caller's token already implies it.
    std::string organisation;
    // Time to wait for the end of the job.
    absl::Duration wait;
};

void addJobOptions(boost::program_options::options_description& options);
JobOptions jobOptionsOf(const CommandLine& line);

// Builds a request about the job with this key.
EntryRequest makeJobRequest(absl::string_view method, absl::string_view requestKey, const JobOptions& options);

// Prints the answer as one JSON line. If the reply is not a success, its description goes to the error output too.
ExitCode printJobAnswer(const CommandContext& context, const EntryReply& reply);

// Returns the exit code for a job's answer. A job that was accepted but has not ended gives OutcomeUnknown if its end
// is awaited, and Ok otherwise.
ExitCode exitCodeOfJob(const EntryReply& reply, bool isEndAwaited);

// Returns the more severe exit code. The order is OutcomeUnknown, Unreachable, Refused, then the others.
ExitCode moreSevereOf(ExitCode left, ExitCode right);

} // namespace mangohall
