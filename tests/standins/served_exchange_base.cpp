#include "standins/served_exchange_base.h"

#include <algorithm>

namespace mangohall {

namespace {

constexpr std::size_t pieceBlockBytes = 16384;
constexpr int httpOk = 200;

ssize_t readPieces(void* context, std::uint64_t /*position*/, char* buffer, std::size_t size)
{
    return (*static_cast<std::shared_ptr<ServedExchange>*>(context))->read(buffer, size);
}

void releasePieces(void* context)
{
    delete static_cast<std::shared_ptr<ServedExchange>*>(context);
}

} // namespace

ServedExchange::ServedExchange(MHD_Connection* connection, std::uint64_t connectionNumber)
    : m_connection(connection)
    , m_connectionNumber(connectionNumber)
{
}

void ServedExchange::answer(const HttpResponse& response)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state != State::Waiting)
        return;
    m_response = response;
    m_state = State::Answered;
    wake();
}

void ServedExchange::begin()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state != State::Waiting)
        return;
    m_state = State::Streaming;
    wake();
}

bool ServedExchange::write(absl::string_view piece)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state != State::Streaming)
        return false;
    m_pending.append(piece.data(), piece.size());
    wake();
    return true;
}

void ServedExchange::end()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state != State::Streaming)
        return;
    m_state = State::Ended;
    wake();
}

void ServedExchange::drop()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state == State::Gone)
        return;
    m_state = State::Dropped;
    wake();
}

bool ServedExchange::markDispatched()
{
    if (m_isDispatched)
        return false;
    m_isDispatched = true;
    return true;
}

MHD_Result ServedExchange::proceed()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_isQueued)
        return MHD_YES;
    switch (m_state) {
    case State::Waiting:
        suspend();
        return MHD_YES;
    case State::Answered:
        return sendWhole();
    case State::Streaming:
    case State::Ended:
        return sendPieces();
    case State::Dropped:
    case State::Gone:
        break;
    }
    return MHD_NO;
}

ssize_t ServedExchange::read(char* buffer, std::size_t size)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state == State::Dropped || m_state == State::Gone)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    if (!m_pending.empty()) {
        const std::size_t count = std::min(size, m_pending.size());
        m_pending.copy(buffer, count);
        m_pending.erase(0, count);
        return static_cast<ssize_t>(count);
    }
    if (m_state == State::Ended)
        return MHD_CONTENT_READER_END_OF_STREAM;
    suspend();
    return 0;
}

void ServedExchange::close()
{
    const absl::MutexLock lock(&m_mutex);
    m_state = State::Gone;
    m_isSuspended = false;
}

void ServedExchange::wake()
{
    if (!m_isSuspended)
        return;
    m_isSuspended = false;
    MHD_resume_connection(m_connection);
}

void ServedExchange::suspend()
{
    m_isSuspended = true;
    MHD_suspend_connection(m_connection);
}

MHD_Result ServedExchange::sendWhole()
{
    MHD_Response* response
        = MHD_create_response_from_buffer(m_response.body.size(), m_response.body.data(), MHD_RESPMEM_MUST_COPY);
    for (const HttpHeader& header : m_response.headers)
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    const MHD_Result result = MHD_queue_response(m_connection, static_cast<unsigned>(m_response.status), response);
    MHD_destroy_response(response);
    m_isQueued = true;
    return result;
}

MHD_Result ServedExchange::sendPieces()
{
    auto* context = new std::shared_ptr<ServedExchange>(shared_from_this());
    MHD_Response* response
        = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, pieceBlockBytes, &readPieces, context, &releasePieces);
    const MHD_Result result = MHD_queue_response(m_connection, httpOk, response);
    MHD_destroy_response(response);
    m_isQueued = true;
    return result;
}

} // namespace mangohall
