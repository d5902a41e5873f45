#include "adapters/http/socket_poller_base.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace mangohall {

namespace {

constexpr std::size_t eventsPerWait = 64;
// The upper half of an event's data is the group, the lower half the socket.
constexpr unsigned groupShift = 32;

epoll_event eventOf(int socket, std::uint32_t group, std::uint32_t wanted)
{
    epoll_event event {};
    event.events = wanted;
    event.data.u64 = (std::uint64_t { group } << groupShift) | static_cast<std::uint32_t>(socket);
    return event;
}

} // namespace

SocketPoller::SocketPoller()
    : m_epollDescriptor(::epoll_create1(EPOLL_CLOEXEC))
    , m_wakeDescriptor(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (m_epollDescriptor < 0 || m_wakeDescriptor < 0 || !watch(m_wakeDescriptor, 0, true, false))
        throw std::system_error(errno, std::generic_category(), "cannot create the descriptors of a socket poller");
}

SocketPoller::~SocketPoller()
{
    ::close(m_wakeDescriptor);
    ::close(m_epollDescriptor);
}

bool SocketPoller::watch(int socket, std::uint32_t group, bool isReadWanted, bool isWriteWanted)
{
    std::uint32_t wanted = 0;
    if (isReadWanted)
        wanted |= EPOLLIN;
    if (isWriteWanted)
        wanted |= EPOLLOUT;
    epoll_event event = eventOf(socket, group, wanted);
    // A new socket may have the number of a closed one. The system removed the closed one from the set, so it must be
    // added.
    if (::epoll_ctl(m_epollDescriptor, EPOLL_CTL_MOD, socket, &event) == 0)
        return true;
    return errno == ENOENT && ::epoll_ctl(m_epollDescriptor, EPOLL_CTL_ADD, socket, &event) == 0;
}

void SocketPoller::remove(int socket)
{
    ::epoll_ctl(m_epollDescriptor, EPOLL_CTL_DEL, socket, nullptr);
}

void SocketPoller::wake()
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is at its maximum; the descriptor is then readable and ends the wait anyway.
    static_cast<void>(::write(m_wakeDescriptor, &one, sizeof(one)));
}

void SocketPoller::clearWakeUps() const
{
    std::uint64_t count = 0;
    static_cast<void>(::read(m_wakeDescriptor, &count, sizeof(count)));
}

absl::Span<const SocketPoller::Ready> SocketPoller::wait(absl::Duration longest)
{
    std::array<epoll_event, eventsPerWait> events {};
    // Rounded up, so that the wait does not end before the given time.
    const auto milliseconds = static_cast<int>(absl::ToInt64Milliseconds(absl::Ceil(longest, absl::Milliseconds(1))));
    const int count = ::epoll_wait(m_epollDescriptor, events.data(), static_cast<int>(events.size()), milliseconds);
    m_mayHaveMore = count == static_cast<int>(events.size());
    m_ready.clear();
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = events[static_cast<std::size_t>(i)];
        Ready ready;
        ready.socket = static_cast<int>(static_cast<std::uint32_t>(event.data.u64));
        ready.group = static_cast<std::uint32_t>(event.data.u64 >> groupShift);
        if (ready.socket == m_wakeDescriptor) {
            clearWakeUps();
            continue;
        }
        ready.isReadable = (event.events & (EPOLLIN | EPOLLHUP)) != 0;
        ready.isWritable = (event.events & EPOLLOUT) != 0;
        ready.hasFailed = (event.events & EPOLLERR) != 0;
        m_ready.push_back(ready);
    }
    return m_ready;
}

} // namespace mangohall
