#include "adapters/http/socket_poller_base.h"

#include <array>
#include <cerrno>
#include <cstdint>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace mangohall {

namespace {

constexpr std::size_t eventsPerWait = 64;

epoll_event eventOf(int socket, std::uint32_t wanted)
{
    epoll_event event {};
    event.events = wanted;
    event.data.fd = socket;
    return event;
}

} // namespace

SocketPoller::SocketPoller()
    : m_poller(::epoll_create1(EPOLL_CLOEXEC))
    , m_wakeUp(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (m_poller < 0 || m_wakeUp < 0 || !watch(m_wakeUp, true, false))
        throw std::system_error(errno, std::generic_category(), "no descriptor for a socket poller");
}

SocketPoller::~SocketPoller()
{
    ::close(m_wakeUp);
    ::close(m_poller);
}

bool SocketPoller::watch(int socket, bool isReadWanted, bool isWriteWanted)
{
    std::uint32_t wanted = 0;
    if (isReadWanted)
        wanted |= EPOLLIN;
    if (isWriteWanted)
        wanted |= EPOLLOUT;
    epoll_event event = eventOf(socket, wanted);
    // A socket that took the number of a closed one is not known here any more.
    if (::epoll_ctl(m_poller, EPOLL_CTL_MOD, socket, &event) == 0)
        return true;
    return errno == ENOENT && ::epoll_ctl(m_poller, EPOLL_CTL_ADD, socket, &event) == 0;
}

void SocketPoller::forget(int socket)
{
    ::epoll_ctl(m_poller, EPOLL_CTL_DEL, socket, nullptr);
}

void SocketPoller::wake()
{
    const std::uint64_t one = 1;
    // A full counter wakes just as well.
    static_cast<void>(::write(m_wakeUp, &one, sizeof(one)));
}

void SocketPoller::takeWakeUps() const
{
    std::uint64_t count = 0;
    static_cast<void>(::read(m_wakeUp, &count, sizeof(count)));
}

absl::Span<const SocketPoller::Ready> SocketPoller::wait(absl::Duration longest)
{
    std::array<epoll_event, eventsPerWait> events {};
    // Rounded up, so that the wait does not end just before its time.
    const auto milliseconds = static_cast<int>(absl::ToInt64Milliseconds(absl::Ceil(longest, absl::Milliseconds(1))));
    const int count = ::epoll_wait(m_poller, events.data(), static_cast<int>(events.size()), milliseconds);
    m_ready.clear();
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = events[static_cast<std::size_t>(i)];
        if (event.data.fd == m_wakeUp) {
            takeWakeUps();
            continue;
        }
        Ready ready;
        ready.socket = event.data.fd;
        ready.isReadable = (event.events & (EPOLLIN | EPOLLHUP)) != 0;
        ready.isWritable = (event.events & EPOLLOUT) != 0;
        ready.hasFailed = (event.events & EPOLLERR) != 0;
        m_ready.push_back(ready);
    }
    return m_ready;
}

} // namespace mangohall
