#include "adapters/platform/etcd_store_base.h"

#include <utility>

#include "adapters/platform/etcd_context_type.h"
#include "adapters/platform/etcd_json_func.h"
#include "adapters/platform/etcd_request_func.h"
#include "adapters/platform/etcd_watch_base.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

using ContextPointer = std::shared_ptr<EtcdContext>;
// Converts a response of etcd to the reply to one kind of request.
using ReplyBuilder = std::function<StoreReply(const EtcdContext&, const EtcdResponse&)>;

constexpr absl::string_view rangePath = "/v3/kv/range";
constexpr absl::string_view transactionPath = "/v3/kv/txn";
constexpr absl::string_view grantPath = "/v3/lease/grant";
constexpr absl::string_view keepAlivePath = "/v3/lease/keepalive";
constexpr absl::string_view revokePath = "/v3/lease/revoke";

StoreReply entriesReply(const EtcdContext& context, const EtcdResponse& response)
{
    StoreReply reply;
    reply.revision = response.revision;
    absl::StatusOr<std::vector<StoreEntry>> entries = decodeEntries(context.codec, response.keyValues);
    if (entries.ok())
        reply.entries = *std::move(entries);
    else
        reply.status = entries.status();
    return reply;
}

StoreReply transactionReply(const EtcdContext& context, const EtcdResponse& response)
{
    StoreReply reply = entriesReply(context, response);
    if (!response.isSucceeded && reply.status.ok())
        reply.status
            = makeError(ErrorKind::RevisionConflict, "the mod revision of the key differs from the expected one");
    return reply;
}

StoreReply leaseReply(const EtcdContext& /*link*/, const EtcdResponse& response)
{
    StoreReply reply;
    reply.revision = response.revision;
    reply.lease = response.lease;
    if (response.timeToLiveSeconds <= 0)
        reply.status = makeError(ErrorKind::NotFound, "the lease has lapsed");
    return reply;
}

StoreReply revokeReply(const EtcdContext& /*link*/, const EtcdResponse& response)
{
    StoreReply reply;
    reply.revision = response.revision;
    return reply;
}

void call(const ContextPointer& context, absl::string_view path, std::string body, ReplyBuilder buildReply,
    StorePort::Done done)
{
    const std::size_t endpoint = context->endpoints.current();
    const HttpRequest request = etcdRequest(*context, endpoint, path, std::move(body), context->options.callTimeout);
    context->http.send(request,
        [context, endpoint, buildReply = std::move(buildReply), done = std::move(done)](
            const absl::StatusOr<HttpResponse>& httpResponse) {
            const absl::StatusOr<EtcdResponse> response = etcdResponseFromHttp(httpResponse);
            if (response.ok()) {
                done(buildReply(*context, *response));
                return;
            }
            if (errorKindOf(response.status()) == ErrorKind::StoreUnavailable)
                context->endpoints.markFailed(endpoint);
            StoreReply reply;
            reply.status = response.status();
            done(std::move(reply));
        });
}

// Sends each kind of request.
class RequestStarter {
public:
    RequestStarter(const ContextPointer& context, StorePort::Done done)
        : m_context(context)
        , m_done(std::move(done))
    {
    }

    void operator()(const StoreGet& request) { start(rangePath, etcdGetBody(request.key), &entriesReply); }

    void operator()(const StoreList& request) { start(rangePath, etcdListBody(request.prefix), &entriesReply); }

    void operator()(const StoreCompareAndSwap& request)
    {
        const bool isDeletion = std::holds_alternative<std::monostate>(request.value);
        std::string body = isDeletion
            ? etcdDeleteBody(request.key, request.expectedRevision)
            : etcdPutBody(request.key, request.expectedRevision, m_context->codec.encode(request.value), request.lease);
        start(transactionPath, std::move(body), &transactionReply);
    }

    void operator()(const StoreGrantLease& request)
    {
        start(grantPath, etcdGrantLeaseBody(request.timeToLive), &leaseReply);
    }

    void operator()(const StoreKeepLeaseAlive& request)
    {
        start(keepAlivePath, etcdLeaseBody(request.lease), &leaseReply);
    }

    void operator()(const StoreRevokeLease& request) { start(revokePath, etcdLeaseBody(request.lease), &revokeReply); }

    void operator()(const StoreWatch& request)
    {
        std::make_shared<EtcdWatch>(m_context, request, std::move(m_done))->open();
    }

private:
    void start(absl::string_view path, std::string body, ReplyBuilder buildReply)
    {
        call(m_context, path, std::move(body), std::move(buildReply), std::move(m_done));
    }

    const ContextPointer& m_context;
    StorePort::Done m_done;
};

} // namespace

absl::StatusOr<std::vector<StoreEntry>> decodeEntries(const StoreCodec& codec, absl::Span<const EtcdKeyValue> keyValues)
{
    std::vector<StoreEntry> entries;
    entries.reserve(keyValues.size());
    for (const EtcdKeyValue& keyValue : keyValues) {
        StoreEntry entry;
        entry.key = keyValue.key;
        entry.modRevision = keyValue.modRevision;
        entry.isDeleted = keyValue.isDeleted;
        if (!entry.isDeleted) {
            absl::StatusOr<StoreValue> value = codec.decode(keyValue.key, keyValue.value);
            if (!value.ok())
                return value.status();
            entry.value = *std::move(value);
        }
        entries.push_back(std::move(entry));
    }
    return entries;
}

EtcdStore::EtcdStore(HttpClient& http, const StoreCodec& codec, EtcdStoreOptions options)
    : m_context(std::make_shared<EtcdContext>(http, codec, std::move(options)))
{
}

EtcdStore::~EtcdStore() = default;

void EtcdStore::start(const StoreRequest& request, Done done)
{
    std::visit(RequestStarter(m_context, std::move(done)), request);
}

} // namespace mangohall
