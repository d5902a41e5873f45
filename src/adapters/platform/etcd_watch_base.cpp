#include "adapters/platform/etcd_watch_base.h"

#include <algorithm>
#include <utility>

#include "adapters/platform/etcd_json_func.h"
#include "adapters/platform/etcd_request_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;
constexpr absl::string_view watchPath = "/v3/watch";

} // namespace

EtcdWatch::EtcdWatch(std::shared_ptr<EtcdContext> context, const StoreWatch& request, StorePort::Done done)
    : m_context(std::move(context))
    , m_prefix(request.prefix)
    , m_done(std::move(done))
    , m_nextRevision(request.afterRevision + 1)
{
}

void EtcdWatch::open()
{
    m_partialLine.clear();
    m_isCreated = false;
    m_endpoint = m_context->endpoints.current();
    const HttpRequest request = etcdRequest(*m_context, m_endpoint, watchPath, etcdWatchBody(m_prefix, m_nextRevision),
        m_context->options.watchIdleTimeout);
    const std::shared_ptr<EtcdWatch> self = shared_from_this();
    m_context->http.stream(
        request, [self](absl::string_view piece) { return self->handlePiece(piece); },
        [self](const absl::StatusOr<HttpResponse>& response) { self->handleClosed(response); });
}

bool EtcdWatch::handlePiece(absl::string_view piece)
{
    std::size_t end = piece.find('\n');
    while (end != absl::string_view::npos) {
        m_partialLine.append(piece.data(), end);
        piece.remove_prefix(end + 1);
        const std::string line = std::exchange(m_partialLine, std::string());
        if (!handleLine(line))
            return false;
        end = piece.find('\n');
    }
    m_partialLine.append(piece.data(), piece.size());
    return true;
}

bool EtcdWatch::handleLine(absl::string_view line)
{
    if (line.empty())
        return true;
    const absl::StatusOr<EtcdResponse> message = etcdResponseFromJson(line);
    if (message.ok())
        return handleMessage(*message);
    fail(message.status());
    return false;
}

bool EtcdWatch::handleMessage(const EtcdResponse& message)
{
    if (message.compactRevision != 0) {
        fail(makeError(ErrorKind::WatchExpired, "the store has compacted the requested revision"));
        return false;
    }
    if (message.isCancelled) {
        fail(makeError(ErrorKind::StoreUnavailable, "the store has cancelled the watch"));
        return false;
    }
    if (message.isCreated) {
        m_isCreated = true;
        return true;
    }
    if (!message.keyValues.empty())
        return handleChanges(message);
    // A progress notification: all changes up to this revision have been sent.
    m_nextRevision = std::max(m_nextRevision, message.revision + 1);
    return true;
}

bool EtcdWatch::handleChanges(const EtcdResponse& message)
{
    absl::StatusOr<std::vector<StoreEntry>> entries = decodeEntries(m_context->codec, message.keyValues);
    if (!entries.ok()) {
        fail(entries.status());
        return false;
    }
    StoreReply reply;
    // Not the revision of the message header: changes up to that revision may still follow.
    reply.revision = message.keyValues.back().modRevision;
    reply.entries = *std::move(entries);
    m_nextRevision = reply.revision + 1;
    m_done(std::move(reply));
    return true;
}

void EtcdWatch::handleClosed(const absl::StatusOr<HttpResponse>& response)
{
    if (m_isOver)
        return;
    const bool isSilent = errorKindOf(response.status()) == ErrorKind::TimedOut;
    if (isSilent && m_isCreated) {
        open();
        return;
    }
    fail(closingStatus(response));
}

absl::Status EtcdWatch::closingStatus(const absl::StatusOr<HttpResponse>& response) const
{
    if (!response.ok())
        return makeError(ErrorKind::StoreUnavailable, response.status().message());
    if (response->status != httpOk)
        return etcdStatusFromHttp(response->status, m_partialLine);
    return makeError(ErrorKind::StoreUnavailable, "the store has closed the watch");
}

void EtcdWatch::fail(const absl::Status& status)
{
    m_isOver = true;
    if (errorKindOf(status) == ErrorKind::StoreUnavailable)
        m_context->endpoints.markFailed(m_endpoint);
    StoreReply reply;
    reply.status = status;
    m_done(std::move(reply));
}

} // namespace mangohall
