#include "programs/ctl/job_cmd.h"

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "programs/ctl/declaration_func.h"
#include "programs/ctl/job_file_func.h"
#include "programs/ctl/job_path_func.h"

namespace mangohall {

namespace po = boost::program_options;

namespace {

constexpr int httpAccepted = 202;

JobOptions optionsFor(const JobFileEntry& job, const JobOptions& given, absl::Duration wait)
{
    return { job.organisation.empty() ? given.organisation : job.organisation, wait };
}

EntryReply submitOne(const CommandContext& context, const JobFileEntry& job, const JobOptions& options)
{
    EntryRequest request = makeJobRequest("PUT", job.requestKey, options);
    request.body = job.spec;
    return callWithRetries(context.client, request, context.random, context.pause);
}

EntryReply awaitOne(const CommandContext& context, const JobFileEntry& job, const JobOptions& options)
{
    const EntryRequest request = makeJobRequest("GET", job.requestKey, options);
    return callWithRetries(context.client, request, context.random, context.pause);
}

// Prints one JSON line for a job. Without an answer, the line holds `execution` and `message` instead.
void printLine(const CommandContext& context, const JobFileEntry& job, const EntryReply& reply)
{
    nlohmann::json body = reply.body;
    const bool isAnswer = reply.outcome == EntryReply::Outcome::Answered && body.is_object();
    if (!isAnswer) {
        body = nlohmann::json::object();
        body["execution"] = reply.isOutcomeUnknown() || reply.isEarlierAttemptUnknown ? "unknown" : "notRun";
        body["message"] = reply.describe();
    }
    body["requestKey"] = job.requestKey;
    context.out << body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

// Submits every job before waiting for the first, so that the jobs run concurrently.
ExitCode submitAll(const CommandContext& context, const std::vector<JobFileEntry>& jobs, const JobOptions& given)
{
    const bool isAwaited = given.wait > absl::ZeroDuration();
    const bool isSingle = jobs.size() == 1;
    std::vector<EntryReply> replies;
    for (const JobFileEntry& job : jobs) {
        const absl::Duration wait = isSingle ? given.wait : absl::ZeroDuration();
        replies.push_back(submitOne(context, job, optionsFor(job, given, wait)));
    }
    ExitCode worst = ExitCode::Ok;
    for (std::size_t index = 0; index < jobs.size(); ++index) {
        EntryReply& reply = replies[index];
        if (isAwaited && !isSingle && reply.isStatus(httpAccepted))
            reply = awaitOne(context, jobs[index], optionsFor(jobs[index], given, given.wait));
        printLine(context, jobs[index], reply);
        worst = moreSevereOf(worst, exitCodeOfJob(reply, isAwaited));
    }
    return worst;
}

} // namespace

void SubmitCommand::addOptions(po::options_description& options) const
{
    options.add_options()("file,f", po::value<std::string>(), "file of jobs; - is standard input");
    options.add_options()("key", po::value<std::string>(), "request key; the file is then a bare spec");
    addJobOptions(options);
}

ExitCode SubmitCommand::run(const CommandLine& line, const CommandContext& context)
{
    if (!line.arguments.empty() || !(line.has("file") || line.has("key")))
        return failUsage(context, *this);
    const std::string file = line.has("file") ? line.text("file") : "-";
    const absl::StatusOr<std::string> text = readFile(file);
    if (!text.ok())
        return failInput(context, text.status());
    const absl::StatusOr<std::vector<JobFileEntry>> jobs = parseJobs(*text, line.text("key"));
    if (!jobs.ok()) {
        return failInput(
            context, makeError(ErrorKind::InvalidValue, absl::StrCat(file, ": ", jobs.status().message())));
    }
    return submitAll(context, *jobs, jobOptionsOf(line));
}

void CancelCommand::addOptions(po::options_description& options) const
{
    addJobOptions(options);
}

ExitCode CancelCommand::run(const CommandLine& line, const CommandContext& context)
{
    if (line.arguments.size() != 1)
        return failUsage(context, *this);
    const EntryRequest request = makeJobRequest("DELETE", line.arguments[0], jobOptionsOf(line));
    const EntryReply reply = callWithRetries(context.client, request, context.random, context.pause);
    const ExitCode code = printJobAnswer(context, reply);
    // These errors mean that the cancellation succeeded.
    const bool isCancelled = reply.errorKind() == errorName(ErrorKind::CancelledBeforeRun)
        || reply.errorKind() == errorName(ErrorKind::CancelledWhileRunning);
    return isCancelled ? ExitCode::Ok : code;
}

} // namespace mangohall
