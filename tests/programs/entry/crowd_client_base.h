// Clients of a test that hold many connections open at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace mangohall {

// Connections to 127.0.0.1 that all send the same text, in turns. The sockets do not block, so that a server that stops
// reading one connection does not stop the others.
class Crowd {
public:
    Crowd(std::uint16_t port, std::size_t connections);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    // Sends the text on every connection, at most `pieceBytes` in each turn, until it is sent or the server has closed
    // the connection. Ends as well if the server takes nothing for two seconds, because connections that it does not
    // accept are never read. The text has to outlive the crowd.
    void send(absl::string_view text, std::size_t pieceBytes);

    // Ends the sending side of every connection and waits until the server has closed it; false if the server leaves
    // connections open for a minute.
    bool finish();

private:
    struct Client {
        int socket = -1;
        std::size_t sentBytes = 0;
    };

    // Waits for sockets that want to send or that the server has closed, and handles them. Returns the number of ready
    // sockets.
    int turn(absl::string_view text, std::size_t pieceBytes, int timeoutMs);
    // Reads and discards what the server has sent; closes the socket if the server has closed the connection.
    static void receive(Client& client);
    static void closeSocket(Client& client);

    std::vector<Client> m_clients;
};

// Sends one request on a new connection and returns everything that the server answers; empty if there is no answer
// within a minute.
std::string requestOnce(std::uint16_t port, absl::string_view request);

} // namespace mangohall
