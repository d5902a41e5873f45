#include "adapters/api/close_watcher_base.h"

#include <array>
#include <cerrno>
#include <cstdint>
#include <limits>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "core/error_func.h"

namespace mangohall {

namespace {

// Tags of the stop event and of the timer; all other tags are caller ids. Caller ids count from 1 and never reach these
// values.
constexpr std::uint64_t stopTag = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t timerTag = stopTag - 1;
constexpr int eventsPerWait = 64;

bool addToPoller(int poller, int descriptor, std::uint32_t events, std::uint64_t tag)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = tag;
    return epoll_ctl(poller, EPOLL_CTL_ADD, descriptor, &event) == 0;
}

bool setTimer(int timer, absl::Duration period)
{
    itimerspec times {};
    times.it_interval = absl::ToTimespec(period);
    times.it_value = times.it_interval;
    return timerfd_settime(timer, 0, &times, nullptr) == 0;
}

void closeDescriptor(int& descriptor)
{
    if (descriptor >= 0)
        ::close(descriptor);
    descriptor = -1;
}

// Reads the counter of an event or timer descriptor, which makes the descriptor unreadable until its next event.
void drainCounter(int descriptor)
{
    std::uint64_t count = 0;
    const ssize_t size = ::read(descriptor, &count, sizeof(count));
    static_cast<void>(size);
}

} // namespace

CloseWatcher::CloseWatcher(CloseListener& listener)
    : m_listener(listener)
{
}

CloseWatcher::~CloseWatcher()
{
    stop();
}

absl::Status CloseWatcher::start(absl::Duration heartbeatPeriod)
{
    m_epollDescriptor = epoll_create1(EPOLL_CLOEXEC);
    m_stopDescriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    m_timerDescriptor = timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK);
    const bool isReady = m_epollDescriptor >= 0 && m_stopDescriptor >= 0 && m_timerDescriptor >= 0
        && addToPoller(m_epollDescriptor, m_stopDescriptor, EPOLLIN, stopTag)
        && addToPoller(m_epollDescriptor, m_timerDescriptor, EPOLLIN, timerTag)
        && setTimer(m_timerDescriptor, heartbeatPeriod);
    if (!isReady) {
        stop();
        return makeError(
            ErrorKind::Internal, "cannot watch connections: cannot set up the epoll, event or timer descriptor");
    }
    m_thread = std::thread([this] { run(); });
    return absl::OkStatus();
}

void CloseWatcher::stop()
{
    if (m_thread.joinable()) {
        const std::uint64_t one = 1;
        const ssize_t size = ::write(m_stopDescriptor, &one, sizeof(one));
        static_cast<void>(size);
        m_thread.join();
    }
    closeDescriptor(m_timerDescriptor);
    closeDescriptor(m_stopDescriptor);
    closeDescriptor(m_epollDescriptor);
}

void CloseWatcher::add(int socket, CallerId caller)
{
    // A failure is ignored: the call is still answered, only a disconnect of the client is detected late.
    addToPoller(m_epollDescriptor, socket, EPOLLRDHUP | EPOLLONESHOT, caller);
}

void CloseWatcher::remove(int socket)
{
    epoll_ctl(m_epollDescriptor, EPOLL_CTL_DEL, socket, nullptr);
}

void CloseWatcher::run()
{
    std::array<epoll_event, eventsPerWait> events {};
    while (true) {
        const int count = epoll_wait(m_epollDescriptor, events.data(), eventsPerWait, -1);
        if (count < 0 && errno != EINTR)
            return;
        for (int index = 0; index < count; ++index) {
            const std::uint64_t tag = events[static_cast<std::size_t>(index)].data.u64;
            if (tag == stopTag)
                return;
            if (tag == timerTag) {
                drainCounter(m_timerDescriptor);
                m_listener.onHeartbeat();
            } else {
                m_listener.onClosed(tag);
            }
        }
    }
}

} // namespace mangohall
