#include "adapters/http/curl_connection_group_base.h"

#include <algorithm>

namespace mangohall {

namespace {

// Initialises the library on the first call.
CURLM* makeMulti()
{
    static const CURLcode isInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(isInitialised);
    return curl_multi_init();
}

} // namespace

CurlConnectionGroup::CurlConnectionGroup(SocketPoller& poller, std::uint32_t number, std::size_t idleConnections)
    : m_poller(poller)
    , m_number(number)
    , m_multi(makeMulti())
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(idleConnections));
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlConnectionGroup::onSocketChange);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
}

CurlConnectionGroup::~CurlConnectionGroup()
{
    curl_multi_cleanup(m_multi);
}

void CurlConnectionGroup::add(CURL* handle)
{
    curl_multi_add_handle(m_multi, handle);
    m_isChanged = true;
}

void CurlConnectionGroup::remove(CURL* handle)
{
    curl_multi_remove_handle(m_multi, handle);
    m_isChanged = true;
}

void CurlConnectionGroup::processSocket(const SocketPoller::Ready& ready)
{
    int what = ready.isReadable ? CURL_CSELECT_IN : 0;
    what |= ready.isWritable ? CURL_CSELECT_OUT : 0;
    what |= ready.hasFailed ? CURL_CSELECT_ERR : 0;
    int running = 0;
    curl_multi_socket_action(m_multi, ready.socket, what, &running);
    m_isChanged = true;
}

void CurlConnectionGroup::processTimers(absl::Time now)
{
    bool isDue = m_timerAt <= now;
    if (m_isChanged) {
        long milliseconds = -1;
        curl_multi_timeout(m_multi, &milliseconds);
        isDue = milliseconds == 0;
    }
    if (!isDue)
        return;
    int running = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    m_isChanged = true;
}

absl::Time CurlConnectionGroup::nextTimer(absl::Time now)
{
    if (!m_isChanged)
        return m_timerAt;
    m_isChanged = false;
    long milliseconds = -1;
    curl_multi_timeout(m_multi, &milliseconds);
    // The library reports a remainder below 1 ms as 0, hence the minimum.
    m_timerAt = milliseconds < 0 ? absl::InfiniteFuture() : now + absl::Milliseconds(std::max(milliseconds, 1L));
    return m_timerAt;
}

absl::optional<CurlConnectionGroup::Completed> CurlConnectionGroup::takeCompleted()
{
    if (!m_isChanged)
        return absl::nullopt;
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg == CURLMSG_DONE)
            return Completed { message->easy_handle, message->data.result };
    }
    return absl::nullopt;
}

int CurlConnectionGroup::onSocketChange(CURL* /*handle*/, curl_socket_t socket, int what, void* self, void* /*state*/)
{
    auto* group = static_cast<CurlConnectionGroup*>(self);
    if (what == CURL_POLL_REMOVE) {
        group->m_poller.remove(socket);
        return 0;
    }
    // A failure is not returned to the library, since it would then end all transfers, even later ones. The transfer of
    // this socket ends by its timeout, which its caller gets as an error.
    static_cast<void>(
        group->m_poller.watch(socket, group->m_number, (what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0));
    return 0;
}

} // namespace mangohall
