#include "batch/worker/outstanding_commands_base.h"

#include <algorithm>

namespace mangohall::batch {

namespace {

// A pending call ends within this time.
constexpr absl::Duration longestCall = absl::Seconds(3);

} // namespace

OutstandingCommands::OutstandingCommands(absl::Time ownedSince, absl::Duration longestLease)
    : m_earlierOwnersUntil(ownedSince + longestCall + maxDelay)
    , m_longestLease(longestLease)
{
}

OutstandingCommands::Command* OutstandingCommands::find(const SessionCall& call)
{
    const auto found = std::find_if(m_commands.begin(), m_commands.end(),
        [&call](const Command& command) { return call.number != 0 && command.call.number == call.number; });
    return found == m_commands.end() ? nullptr : &*found;
}

void OutstandingCommands::erase(const SessionCall& call)
{
    if (const Command* command = find(call))
        m_commands.erase(m_commands.begin() + (command - m_commands.data()));
}

void OutstandingCommands::recordSent(SessionCall& call)
{
    call.number = ++m_lastNumber;
    const bool isStart = call.kind == SessionCall::Kind::Start;
    if (isStart || call.renewsLease || call.acknowledgedEnd != 0)
        m_commands.push_back({ .call = call, .until = call.sentAt + maxDelay, .mayStart = isStart });
}

void OutstandingCommands::markExecuted(Command& command, absl::Time now)
{
    command.mayStart = false;
    command.call.acknowledgedEnd = 0;
    command.until = std::min(command.until, now);
}

void OutstandingCommands::recordReply(const SessionCall& call, std::int64_t repliedBy, absl::Time now)
{
    Command* command = find(call);
    if (command == nullptr)
        return;
    const bool isOtherProcess = repliedBy == 0 || repliedBy != command->call.processStartMs;
    if (!command->call.renewsLease || !isOtherProcess) {
        erase(call);
        return;
    }
    command->isPending = false;
    markExecuted(*command, now);
}

bool OutstandingCommands::recordNotExecuted(const SessionCall& call)
{
    const Command* command = find(call);
    const bool wasUnknown = command == nullptr || command->call.kind != SessionCall::Kind::Start || command->mayStart;
    erase(call);
    return wasUnknown;
}

bool OutstandingCommands::recordNoReply(const SessionCall& call, absl::Time now)
{
    m_anyUntil = std::max(m_anyUntil, now + maxDelay);
    Command* command = find(call);
    if (command == nullptr)
        return true;
    command->isPending = false;
    if (command->call.kind == SessionCall::Kind::Start && !command->mayStart)
        return false;
    command->until = now + maxDelay;
    return true;
}

void OutstandingCommands::recordReplyOfUnknown(const SessionCall& call, absl::Time now)
{
    recordNoReply(call, now);
    if (Command* command = find(call))
        command->confirmedAt = now;
}

void OutstandingCommands::settleRepliesBefore(absl::Time sentAt, std::int64_t processStartMs)
{
    const auto isSettled = [sentAt, processStartMs](const Command& command) {
        return command.confirmedAt <= sentAt && command.call.processStartMs == processStartMs;
    };
    m_commands.erase(std::remove_if(m_commands.begin(), m_commands.end(), isSettled), m_commands.end());
}

void OutstandingCommands::recordStartsOfEarlierOwner(
    const RunKey& run, absl::Time now, absl::Time until, std::int64_t processStartMs)
{
    SessionCall call;
    call.kind = SessionCall::Kind::Start;
    call.run = run;
    call.sentAt = now;
    call.processStartMs = processStartMs;
    m_commands.push_back({ .call = call,
        .until = std::min(now + commandCallTimeout + maxDelay, until),
        .isPending = false,
        .mayStart = true,
        .isOfEarlierOwner = true });
}

// Which start was executed is unknown if one is pending beside others, and its reply won't tell: a worker confirms a
// start also if it has the run already.
void OutstandingCommands::recordShown(const RunKey& run, absl::Time now)
{
    Command* executed = nullptr;
    for (Command& command : m_commands) {
        if (!command.mayStart || command.call.run != run)
            continue;
        const bool isOneOfTwo = executed != nullptr && (executed->isPending || command.isPending);
        if (command.isOfEarlierOwner || isOneOfTwo)
            return;
        // Which of several it was is unknown, so the one counts as executed that could come for the shortest time.
        if (executed == nullptr || command.until < executed->until)
            executed = &command;
    }
    if (executed != nullptr)
        markExecuted(*executed, now);
}

void OutstandingCommands::settleStarts(const RunKey& run)
{
    for (Command& command : m_commands) {
        if (command.call.run == run)
            command.mayStart = false;
    }
}

void OutstandingCommands::settleAcknowledgements()
{
    for (Command& command : m_commands) {
        if (!command.isPending)
            command.call.acknowledgedEnd = 0;
    }
}

void OutstandingCommands::expire(absl::Time now)
{
    if (m_anyUntil <= now)
        m_anyUntil = absl::InfinitePast();
    const auto isOver = [this, now](const Command& command) {
        return !command.isPending && !command.mayStart && command.until + m_longestLease <= now;
    };
    m_commands.erase(std::remove_if(m_commands.begin(), m_commands.end(), isOver), m_commands.end());
}

bool OutstandingCommands::mayStart(const RunKey& run) const
{
    return std::any_of(m_commands.begin(), m_commands.end(),
        [&run](const Command& command) { return command.mayStart && command.call.run == run; });
}

bool OutstandingCommands::isAnyPending() const
{
    return std::any_of(m_commands.begin(), m_commands.end(), [](const Command& command) { return command.isPending; });
}

absl::Time OutstandingCommands::startsMayComeUntil(const RunKey& run) const
{
    absl::Time until = absl::InfinitePast();
    for (const Command& command : m_commands) {
        if (command.mayStart && !command.isPending && command.call.run == run)
            until = std::max(until, command.until);
    }
    return until;
}

bool OutstandingCommands::mayStartAny() const
{
    return std::any_of(m_commands.begin(), m_commands.end(), [](const Command& command) { return command.mayStart; });
}

// A command can only come to a later process than it was sent to if it was sent before an owner knew of that process,
// which takes no longer than a call, and is not over since.
absl::Time OutstandingCommands::earlierOwnersUntil(std::int64_t processStartMs) const
{
    if (processStartMs == 0)
        return m_earlierOwnersUntil;
    const absl::Time byStart = absl::FromUnixMillis(processStartMs) + maxTimeOfDayError + longestCall + maxDelay;
    const auto written = m_earlierCommandsUntil.find(processStartMs);
    const absl::Time byRecord
        = written == m_earlierCommandsUntil.end() ? absl::InfiniteFuture() : written->second + maxTimeOfDayError;
    const auto seen = m_epochSeenAt.find(processStartMs);
    const absl::Time byEpoch = seen == m_epochSeenAt.end() ? absl::InfiniteFuture() : seen->second;
    return std::min({ m_earlierOwnersUntil, byStart, byRecord, byEpoch });
}

void OutstandingCommands::recordEpochSeen(std::int64_t processStartMs, absl::Time now)
{
    m_epochSeenAt.try_emplace(processStartMs, now);
}

void OutstandingCommands::recordEarlierCommandsUntil(std::int64_t processStartMs, absl::Time until)
{
    const auto written = m_earlierCommandsUntil.try_emplace(processStartMs, until).first;
    written->second = std::min(written->second, until);
}

absl::Time OutstandingCommands::foreignRenewalUntil(std::int64_t processStartMs) const
{
    absl::Time until = earlierOwnersUntil(processStartMs);
    for (const Command& command : m_commands) {
        const bool isOther = processStartMs == 0 || command.call.processStartMs != processStartMs;
        const bool isForeign = isOther && !command.isBoundToProcess;
        if (command.call.renewsLease && isForeign)
            until = std::max(until, command.until + (command.isPending ? longestCall : absl::ZeroDuration()));
    }
    return until;
}

// Any later process may have a run that may still start, and its start carries a lease.
absl::Time OutstandingCommands::foreignLeaseEnd(const RunKey& run, std::int64_t processStartMs) const
{
    if (!mayStart(run))
        return foreignRenewalUntil(processStartMs) + m_longestLease;
    const std::int64_t onlyProcess = onlyProcessOf(run);
    if (onlyProcess != 0)
        return foreignRenewalUntil(onlyProcess) + m_longestLease;
    return std::max(startsMayComeUntil(run), foreignRenewalUntil(0)) + m_longestLease;
}

std::int64_t OutstandingCommands::onlyProcessOf(const RunKey& run) const
{
    std::int64_t process = 0;
    for (const Command& command : m_commands) {
        if (!command.mayStart || command.call.run != run)
            continue;
        const bool isOther = process != 0 && process != command.call.processStartMs;
        if (!command.isBoundToProcess || isOther)
            return 0;
        process = command.call.processStartMs;
    }
    return process;
}

void OutstandingCommands::recordAlive(std::int64_t processStartMs, absl::Time aliveAt)
{
    for (Command& command : m_commands) {
        const bool isOver = !command.isPending && command.until <= aliveAt;
        if (isOver && processStartMs != 0 && command.call.processStartMs == processStartMs)
            command.isBoundToProcess = true;
    }
}

std::int64_t OutstandingCommands::unansweredAcknowledgement(std::int64_t processStartMs) const
{
    std::int64_t end = 0;
    for (const Command& command : m_commands) {
        if (!command.isPending && command.call.processStartMs == processStartMs)
            end = std::max(end, command.call.acknowledgedEnd);
    }
    return end;
}

absl::Time OutstandingCommands::unansweredAcknowledgementUntil() const
{
    absl::Time until = absl::InfinitePast();
    for (const Command& command : m_commands) {
        if (!command.isPending && command.call.acknowledgedEnd != 0)
            until = std::max(until, command.until);
    }
    return until;
}

absl::Time OutstandingCommands::acknowledgementsMayComeUntil() const
{
    absl::Time until = absl::InfinitePast();
    for (const Command& command : m_commands) {
        if (command.call.acknowledgedEnd != 0)
            until = std::max(until, command.until);
    }
    return until;
}

absl::Time OutstandingCommands::lastEffectAt() const
{
    absl::Time last = absl::InfinitePast();
    for (const Command& command : m_commands)
        last = std::max(last, command.until + (command.call.renewsLease ? m_longestLease : absl::ZeroDuration()));
    return last;
}

} // namespace mangohall::batch
