// A loopback server that loses one response.
#pragma once

#include <string>
#include <thread>
#include <unistd.h>

#include "absl/base/thread_annotations.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "adapters/http/loopback_socket_base.h"

namespace mangohall {

// Answers the first request with 200 and an empty JSON object, reads the second one on the same connection and closes
// that connection without a response, and answers each later request with 503: like a server that executes a request,
// fails before its response is sent, and refuses what follows. Serves one connection at a time.
class ResponseDroppingServer {
public:
    ResponseDroppingServer()
        : m_address(absl::StrCat("127.0.0.1:", m_listener.port()))
    {
        constexpr int backlog = 8;
        m_listener.listen(backlog);
        m_thread = std::thread([this] { serve(); });
    }
    // The client has to be destroyed before, so that its connections are closed.
    ~ResponseDroppingServer()
    {
        m_listener.shutDown();
        m_thread.join();
    }
    ResponseDroppingServer(const ResponseDroppingServer&) = delete;
    ResponseDroppingServer& operator=(const ResponseDroppingServer&) = delete;

    // "ip:port".
    const std::string& address() const { return m_address; }

    // How many requests were read to their end.
    int requestCount()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_requests;
    }

private:
    void serve()
    {
        for (int connection = m_listener.accept(); connection >= 0; connection = m_listener.accept()) {
            while (serveRequest(connection)) { }
            ::close(connection);
        }
    }

    // Returns whether the connection stays open.
    bool serveRequest(int connection)
    {
        constexpr absl::string_view success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        constexpr absl::string_view refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        constexpr int droppedRequest = 2;
        if (!readRequest(connection))
            return false;
        const int number = countRequest();
        if (number == droppedRequest)
            return false;
        const absl::string_view response = number < droppedRequest ? success : refusal;
        return ::write(connection, response.data(), response.size()) == static_cast<ssize_t>(response.size());
    }

    int countRequest()
    {
        const absl::MutexLock lock(&m_mutex);
        return ++m_requests;
    }

    // Reads a request with its body. Returns false if the connection ends before.
    static bool readRequest(int connection)
    {
        constexpr absl::string_view headEnd = "\r\n\r\n";
        std::string head;
        while (!absl::EndsWith(head, headEnd)) {
            if (!readByte(connection, head))
                return false;
        }
        std::string body;
        for (const std::size_t size = bodySizeOf(head); body.size() < size;) {
            if (!readByte(connection, body))
                return false;
        }
        return true;
    }

    static bool readByte(int connection, std::string& text)
    {
        char byte = 0;
        if (::read(connection, &byte, 1) != 1)
            return false;
        text.push_back(byte);
        return true;
    }

    static std::size_t bodySizeOf(absl::string_view head)
    {
        constexpr absl::string_view name = "Content-Length: ";
        const std::size_t begin = head.find(name);
        if (begin == absl::string_view::npos)
            return 0;
        const absl::string_view value = head.substr(begin + name.size());
        std::size_t size = 0;
        return absl::SimpleAtoi(value.substr(0, value.find('\r')), &size) ? size : 0;
    }

    LoopbackSocket m_listener;
    const std::string m_address;
    absl::Mutex m_mutex;
    int m_requests ABSL_GUARDED_BY(m_mutex) = 0;
    std::thread m_thread;
};

} // namespace mangohall
