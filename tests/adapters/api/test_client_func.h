// Minimal HTTP client for tests, on a blocking socket.
#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace mangohall {

// A connection to 127.0.0.1, closed by the destructor.
class TestConnection {
public:
    explicit TestConnection(std::uint16_t port);
    ~TestConnection();
    TestConnection(const TestConnection&) = delete;
    TestConnection& operator=(const TestConnection&) = delete;

    // Sends the whole text; stops silently if the server has closed the connection.
    void send(absl::string_view text) const;
    // Reads up to and including the text, or until the server closes the connection.
    std::string readUntil(absl::string_view text);
    // Reads one response whose body size is given by Content-Length.
    std::string readResponse();
    // Reads until the server closes the connection.
    std::string readAll();

private:
    // Reads one block into the buffer; false if the server has closed the connection.
    bool readMore();

    // -1 if connecting failed.
    int m_socket = -1;
    // Bytes received and not returned yet.
    std::string m_buffer;
};

// Returns the text of a request; without an Authorization header if the token is empty.
std::string requestText(
    absl::string_view method, absl::string_view target, absl::string_view token, absl::string_view body = "");

// Sends one request on a new connection and returns the response.
std::string exchange(std::uint16_t port, absl::string_view request);

} // namespace mangohall
