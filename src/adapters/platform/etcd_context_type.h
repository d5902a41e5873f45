// State that all requests of one EtcdStore share.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"
#include "adapters/platform/etcd_store_base.h"
#include "adapters/platform/etcd_type.h"

namespace mangohall {

// Selects the endpoint for the next call: the current one until a call to it fails, then the next in the list.
// Thread-safe.
class EtcdEndpoints {
public:
    explicit EtcdEndpoints(std::size_t count)
        : m_count(count)
    {
    }

    // The index of the endpoint to use.
    std::size_t current() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_current;
    }

    // Moves to the next endpoint if `endpoint` is still the current one, so that concurrent failures move by one only.
    void markFailed(std::size_t endpoint)
    {
        const absl::MutexLock lock(&m_mutex);
        if (endpoint == m_current)
            m_current = (m_current + 1) % m_count;
    }

private:
    const std::size_t m_count;
    mutable absl::Mutex m_mutex;
    std::size_t m_current ABSL_GUARDED_BY(m_mutex) = 0;
};

// The HTTP client, the codec and the endpoints. Client and codec must outlive it.
struct EtcdContext {
    EtcdContext(HttpClient& httpClient, const StoreCodec& storeCodec, EtcdStoreOptions storeOptions)
        : http(httpClient)
        , codec(storeCodec)
        , options(std::move(storeOptions))
        , endpoints(options.endpoints.size())
    {
    }

    HttpClient& http;
    const StoreCodec& codec;
    const EtcdStoreOptions options;
    EtcdEndpoints endpoints;
};

// Builds a POST request to an endpoint, given by its index.
inline HttpRequest etcdRequest(
    const EtcdContext& context, std::size_t endpoint, absl::string_view path, std::string body, absl::Duration timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.url = absl::StrCat(context.options.endpoints[endpoint], path);
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = std::move(body);
    request.timeout = timeout;
    return request;
}

// Decodes the values of entries. Returns the first error of the codec.
absl::StatusOr<std::vector<StoreEntry>> decodeEntries(
    const StoreCodec& codec, absl::Span<const EtcdKeyValue> keyValues);

} // namespace mangohall
