#include "programs/ctl/watch_follower_base.h"

#include "absl/strings/str_cat.h"
#include "adapters/json/job_json_func.h"
#include "adapters/json/json_text_func.h"
#include "core/error_func.h"
#include "programs/ctl/current_state_func.h"
#include "programs/ctl/json_field_func.h"

namespace mangohall {

namespace {

// Consecutive lists or streams without data after which the command gives up.
constexpr int maxConsecutiveFailures = 8;

absl::optional<Revision> revisionOf(const nlohmann::json& line)
{
    const auto found = line.find("revision");
    if (found == line.end() || !found->is_number_integer())
        return absl::nullopt;
    return found->get<Revision>();
}

bool isExpired(const EntryReply& reply)
{
    return reply.errorKind() == errorName(ErrorKind::WatchExpired);
}

bool isPermanentFailure(const EntryReply& reply)
{
    return reply.outcome == EntryReply::Outcome::Answered && !reply.isSuccess() && !reply.isRetryable();
}

} // namespace

WatchFollower::WatchFollower(const CommandContext& context, absl::string_view kind, std::uint64_t maxLines)
    : m_context(context)
    , m_kind(kind)
    , m_maxLines(maxLines)
{
}

ExitCode WatchFollower::follow(absl::optional<Revision> revision)
{
    m_revision = revision;
    EntryReply reply;
    for (int failures = 0; failures < maxConsecutiveFailures;) {
        m_hasProgressed = false;
        reply = m_revision ? streamOnce() : listCurrent();
        if (isDone())
            return ExitCode::Ok;
        if (isExpired(reply))
            m_revision = absl::nullopt;
        else if (isPermanentFailure(reply))
            return reportReply(m_context, reply);
        failures = m_hasProgressed ? 0 : failures + 1;
        if (!m_hasProgressed)
            m_context.pause.pauseFor(fullJitter(failures, m_context.random));
    }
    m_context.errors << reply.describe() << "\n";
    return ExitCode::Unreachable;
}

EntryReply WatchFollower::listCurrent()
{
    EntryRequest request;
    request.target = listPath(m_kind);
    EntryReply reply = m_context.client.call(request);
    const absl::optional<Revision> revision
        = reply.isSuccess() && reply.body.is_object() ? revisionOf(reply.body) : absl::nullopt;
    if (!revision)
        return reply;
    m_revision = revision;
    m_hasProgressed = true;
    print(reply.body);
    return reply;
}

EntryReply WatchFollower::streamOnce()
{
    EntryRequest request;
    request.target = absl::StrCat("/v1/", encodeForUrl(m_kind), "?watch=", *m_revision);
    m_incompleteLine.clear();
    return m_context.client.stream(request, [this](absl::string_view piece) { return handlePiece(piece); });
}

bool WatchFollower::handlePiece(absl::string_view piece)
{
    absl::StrAppend(&m_incompleteLine, piece);
    std::size_t end = m_incompleteLine.find('\n');
    while (end != std::string::npos && !isDone()) {
        handleLine(m_incompleteLine.substr(0, end));
        m_incompleteLine.erase(0, end + 1);
        end = m_incompleteLine.find('\n');
    }
    return !isDone() && m_revision.has_value();
}

void WatchFollower::handleLine(const std::string& line)
{
    const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
    if (!parsed.is_object())
        return;
    if (parsed.contains("error")) {
        const bool isExpired = textField(parsed["error"], "kind") == errorName(ErrorKind::WatchExpired);
        if (isExpired)
            m_revision = absl::nullopt;
        return;
    }
    m_hasProgressed = true;
    const absl::optional<Revision> revision = revisionOf(parsed);
    // Skips changes that were printed before, as well as heartbeats.
    const bool isNew = revision && m_revision && *revision > *m_revision;
    if (!isNew)
        return;
    m_revision = revision;
    print(parsed);
}

void WatchFollower::print(const nlohmann::json& line)
{
    ++m_lines;
    m_context.out << toJsonText(line) << std::endl;
}

} // namespace mangohall
