#include "adapters/api/call_table_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;

} // namespace

CallTable::CallTable(std::size_t maxWatches, std::size_t maxWatchBacklogBytes)
    : m_maxWatches(maxWatches)
    , m_maxWatchBacklogBytes(maxWatchBacklogBytes)
{
}

absl::Status CallTable::open(CallerId caller, CallConnection& connection, bool isWatch)
{
    Shard& shard = shardOf(caller);
    absl::MutexLock lock(&shard.mutex);
    if (shard.isShutDown)
        return makeError(ErrorKind::Draining, "this entry has stopped; retry at another entry");
    if (isWatch && ++m_watchCount > m_maxWatches) {
        --m_watchCount;
        return makeError(ErrorKind::TooManyWatches, "too many watches are open at this entry");
    }
    Call& call = shard.calls[caller];
    call.connection = &connection;
    call.isWatch = isWatch;
    return absl::OkStatus();
}

bool CallTable::close(CallerId caller)
{
    Shard& shard = shardOf(caller);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.calls.find(caller);
    if (found == shard.calls.end())
        return false;
    const bool isAnswerPending = !found->second.hasLastAnswer;
    if (found->second.isWatch)
        --m_watchCount;
    shard.calls.erase(found);
    return isAnswerPending;
}

CallStep CallTable::nextStep(const Call& call)
{
    if (call.isAbandoned)
        return CallStep::Close;
    if (call.answer)
        return CallStep::Answer;
    if (call.isWatch && (call.isEnded || !call.unsentLines.empty()))
        return CallStep::Stream;
    return CallStep::Wait;
}

CallStep CallTable::step(CallerId caller, EncodedAnswer& answer)
{
    Shard& shard = shardOf(caller);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.calls.find(caller);
    if (found == shard.calls.end())
        return CallStep::Close;
    Call& call = found->second;
    const CallStep next = nextStep(call);
    if (next == CallStep::Wait)
        suspend(call);
    if (next == CallStep::Answer)
        answer = *std::exchange(call.answer, absl::nullopt);
    if (next == CallStep::Stream)
        call.isStreaming = true;
    return next;
}

StreamReadResult CallTable::readStream(CallerId caller, absl::Span<char> buffer)
{
    Shard& shard = shardOf(caller);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.calls.find(caller);
    if (found == shard.calls.end() || found->second.isAbandoned)
        return { StreamReadResult::Kind::Broken, 0 };
    Call& call = found->second;
    if (!call.unsentLines.empty()) {
        const std::size_t size = std::min(buffer.size(), call.unsentLines.size());
        std::copy_n(call.unsentLines.begin(), size, buffer.begin());
        call.unsentLines.erase(0, size);
        return { StreamReadResult::Kind::Data, size };
    }
    if (call.isEnded)
        return { StreamReadResult::Kind::End, 0 };
    suspend(call);
    return { StreamReadResult::Kind::Wait, 0 };
}

void CallTable::appendLine(Call& call, const EncodedAnswer& answer, bool isLast) const
{
    if (call.isEnded)
        return;
    absl::StrAppend(&call.unsentLines, answer.body, "\n");
    // The backlog is checked after a whole line is added, so a watch that is ended for it never sends a partial line.
    // Its client resumes from the last revision received.
    call.isEnded = isLast || call.unsentLines.size() > m_maxWatchBacklogBytes;
}

void CallTable::answer(CallerId caller, const EncodedAnswer& answer, bool isLast)
{
    Shard& shard = shardOf(caller);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.calls.find(caller);
    if (found == shard.calls.end())
        return;
    Call& call = found->second;
    call.hasLastAnswer = call.hasLastAnswer || isLast;
    const bool isLine = call.isWatch && (call.isStreaming || !call.unsentLines.empty() || answer.httpStatus == httpOk);
    if (isLine)
        appendLine(call, answer, isLast);
    else if (!call.answer)
        call.answer = answer;
    resume(call);
}

void CallTable::abandon(CallerId caller)
{
    Shard& shard = shardOf(caller);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.calls.find(caller);
    if (found == shard.calls.end())
        return;
    found->second.isAbandoned = true;
    resume(found->second);
}

void CallTable::sendHeartbeats(absl::string_view line)
{
    for (Shard& shard : m_shards) {
        absl::MutexLock lock(&shard.mutex);
        for (auto& entry : shard.calls) {
            Call& call = entry.second;
            const bool isIdle = call.isWatch && !call.isEnded && !call.answer && call.unsentLines.empty();
            if (!isIdle)
                continue;
            call.unsentLines = std::string(line);
            resume(call);
        }
    }
}

void CallTable::endWatches()
{
    for (Shard& shard : m_shards) {
        absl::MutexLock lock(&shard.mutex);
        for (auto& entry : shard.calls) {
            entry.second.isEnded = entry.second.isEnded || entry.second.isWatch;
            if (entry.second.isWatch)
                resume(entry.second);
        }
    }
}

void CallTable::answerAll(const EncodedAnswer& answer)
{
    for (Shard& shard : m_shards) {
        absl::MutexLock lock(&shard.mutex);
        for (auto& entry : shard.calls) {
            Call& call = entry.second;
            if (call.isWatch || call.hasLastAnswer)
                continue;
            call.answer = answer;
            resume(call);
        }
    }
}

void CallTable::shutDown()
{
    for (Shard& shard : m_shards) {
        absl::MutexLock lock(&shard.mutex);
        shard.isShutDown = true;
        for (auto& entry : shard.calls) {
            entry.second.isAbandoned = true;
            resume(entry.second);
        }
    }
}

void CallTable::suspend(Call& call)
{
    call.isSuspended = true;
    call.connection->suspend();
}

void CallTable::resume(Call& call)
{
    if (!call.isSuspended)
        return;
    call.isSuspended = false;
    call.connection->resume();
}

} // namespace mangohall
