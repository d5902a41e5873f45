// What the store's requests share.
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

// Takes the store's endpoints in turn: the next one once a call to the present one has failed.
class EtcdEndpoints {
public:
    explicit EtcdEndpoints(std::size_t count)
        : m_count(count)
    {
    }

    std::size_t present() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_present;
    }

    // Calls that fail together move on by one endpoint only.
    void failed(std::size_t endpoint)
    {
        const absl::MutexLock lock(&m_mutex);
        if (endpoint == m_present)
            m_present = (m_present + 1) % m_count;
    }

private:
    const std::size_t m_count;
    mutable absl::Mutex m_mutex;
    std::size_t m_present ABSL_GUARDED_BY(m_mutex) = 0;
};

struct EtcdLink {
    EtcdLink(HttpClient& httpClient, const StoreCodec& storeCodec, EtcdStoreOptions storeOptions)
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

// A POST to an endpoint.
inline HttpRequest etcdRequest(
    const EtcdLink& link, std::size_t endpoint, absl::string_view path, std::string body, absl::Duration timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.url = absl::StrCat(link.options.endpoints[endpoint], path);
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = std::move(body);
    request.timeout = timeout;
    return request;
}

// Entries with their decoded values. Fails with the codec's error.
absl::StatusOr<std::vector<StoreEntry>> decodeEntries(
    const StoreCodec& codec, absl::Span<const EtcdKeyValue> keyValues);

} // namespace mangohall
