// A real entry process under many clients that send unfinished, chunked or oversized bodies. Guards against a process
// that runs out of memory or descriptors, or that stops answering. No check depends on the speed of the machine.
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "programs/entry/crowd_client_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::string_view token = "token-of-zagara-for-tests";
constexpr absl::string_view operatorToken = "token-of-operators-for-tests";
constexpr std::size_t crowdSize = 400;
constexpr std::size_t bodyLimitBytes = 262144;
constexpr std::size_t headerLimitBytes = 16384;
constexpr std::size_t memoryMb = 64;
constexpr std::size_t memoryBytes = memoryMb << 20U;
// The library holds up to four times the header limit for each connection. An eighth of the memory is for connections.
constexpr std::size_t connectionsThatFit = memoryBytes / 8 / (4 * headerLimitBytes);
// Connections that are accepted to be refused (64 for each of two threads), and descriptors of the process itself.
constexpr std::size_t otherDescriptors = 128 + 128;
constexpr std::size_t wholeBody = std::size_t { 1 } << 30U;

// A TCP port of the loopback address that is free now.
std::uint16_t freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    const bool isBound = ::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0
        && ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    ::close(socket);
    return isBound ? ntohs(address.sin_port) : std::uint16_t { 0 };
}

std::string settingsText(std::uint16_t port)
{
    return absl::StrCat(R"({ "node": { "name": "e", "region": "r", "dataCentre": "c" },
        "peer": { "listenIp": "127.0.0.1", "listenPort": 0, "address": "127.0.0.1:1" },
        "store": { "endpoints": ["http://127.0.0.1:1"] }, "vmList": { "endpoint": "http://127.0.0.1:2" },
        "drainTimeoutMs": 0, "log": { "level": "error" },
        "api": { "listenIp": "127.0.0.1", "listenPort": )",
        port, R"( }, "limits": { "connectionsPerClient": 1000, "bodyBytes": )", bodyLimitBytes, R"(, "headerBytes": )",
        headerLimitBytes, R"(, "memoryMb": )", memoryMb, R"( }, "tokens": { "operators": [")", operatorToken,
        R"("], "organisations": { "zagara": [")", token, R"("] } } })");
}

std::string head(absl::string_view fields)
{
    return absl::StrCat("PUT /v1/jobs/k1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ", token, "\r\n", fields, "\r\n");
}

// A request with an announced length of which `bodyBytes` are sent.
std::string announced(std::size_t length, std::size_t bodyBytes)
{
    return absl::StrCat(head(absl::StrCat("Content-Length: ", length, "\r\n")), std::string(bodyBytes, ' '));
}

// A chunked request without its end.
std::string chunked(std::size_t chunkBytes, std::size_t bodyBytes)
{
    const std::string chunk = absl::StrCat(absl::Hex(chunkBytes), "\r\n", std::string(chunkBytes, ' '), "\r\n");
    std::string text = head("Transfer-Encoding: chunked\r\n");
    for (std::size_t bytes = chunkBytes; bytes <= bodyBytes; bytes += chunkBytes)
        text += chunk;
    return text;
}

class EntryCrowdTest : public testing::Test {
protected:
    void SetUp() override
    {
        const std::string path = absl::StrCat(testing::TempDir(), "/entry_crowd_test_", ::getpid(), ".json");
        m_port = freePort();
        std::ofstream(path) << settingsText(m_port);
        std::string program = ENTRY_PROGRAM;
        std::string option = "--settings";
        std::string settings = path;
        char* arguments[] = { program.data(), option.data(), settings.data(), nullptr };
        ASSERT_EQ(::posix_spawn(&m_process, ENTRY_PROGRAM, nullptr, nullptr, arguments, environ), 0);
        // Retries until the process listens; it ends the loop by exiting if it cannot start.
        while (isAlive() && !isOrdinaryRequestAnswered()) { }
        ASSERT_TRUE(isAlive());
        std::filesystem::remove(path);
    }

    void TearDown() override
    {
        if (!isAlive())
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }

    bool isAlive()
    {
        if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) != 0)
            m_process = -1;
        return m_process > 0;
    }

    bool isOrdinaryRequestAnswered() const
    {
        return absl::StrContains(
            requestOnce(m_port, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"), "200 OK");
    }

    // Largest resident memory of the process so far.
    std::size_t peakMemoryBytes() const
    {
        std::ifstream status(absl::StrCat("/proc/", m_process, "/status"));
        std::string field;
        std::size_t kilobytes = 0;
        while (status >> field) {
            if (field == "VmHWM:" && status >> kilobytes)
                return kilobytes << 10U;
        }
        return 0;
    }

    std::size_t openDescriptors() const
    {
        std::size_t count = 0;
        for (const auto& entry : std::filesystem::directory_iterator(absl::StrCat("/proc/", m_process, "/fd"))) {
            static_cast<void>(entry);
            ++count;
        }
        return count;
    }

    // Whether the process has accepted every connection and read everything that has arrived. The table of the kernel
    // shows accepted and waiting connections: local address, remote address, state, and queues as TX:RX.
    bool hasReadEverything() const
    {
        std::ifstream table("/proc/self/net/tcp");
        const std::string local = absl::StrFormat("0100007F:%04X", m_port);
        std::string line;
        while (std::getline(table, line)) {
            const std::vector<std::string> fields = absl::StrSplit(line, ' ', absl::SkipEmpty());
            constexpr std::size_t queueField = 4;
            if (fields.size() <= queueField || fields[1] != local || (fields[3] != "01" && fields[3] != "0A"))
                continue;
            if (!absl::EndsWith(fields[queueField], ":00000000"))
                return false;
        }
        return true;
    }

    // Waits until the process has read what the crowd sent, while all of it is still open. Each turn waits for the
    // answer to a request, so the loop does not spin; its bound keeps a process that stops reading from hanging the
    // test.
    void awaitReading()
    {
        constexpr int maxTurns = 10000;
        for (int turn = 0; turn < maxTurns && isAlive() && !hasReadEverything(); ++turn)
            isOrdinaryRequestAnswered();
    }

    // Whether bodies were evicted for others: the connections that fit could hold more bytes than the budget has.
    bool hasEvictedBodies() const
    {
        const std::string request = absl::StrCat("GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n",
            "Authorization: Bearer ", operatorToken, "\r\n\r\n");
        const std::string metrics = requestOnce(m_port, request);
        return absl::StrContains(metrics, "\nmangohall_api_bodies_evicted ")
            && !absl::StrContains(metrics, "\nmangohall_api_bodies_evicted 0\n");
    }

    // Waits until no unfinished body holds bytes. Bytes that are never given back would in the end refuse every body.
    bool awaitNoHeldBytes()
    {
        const std::string request = absl::StrCat("GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n",
            "Authorization: Bearer ", operatorToken, "\r\n\r\n");
        constexpr int maxTurns = 1000;
        for (int turn = 0; turn < maxTurns && isAlive(); ++turn) {
            if (absl::StrContains(requestOnce(m_port, request), "\nmangohall_api_body_bytes 0\n"))
                return true;
        }
        return false;
    }

    // Lets the crowd send the text and checks the process while the crowd is there and after it has left.
    void withstand(const std::string& text, std::size_t pieceBytes = wholeBody)
    {
        Crowd crowd(m_port, crowdSize);
        crowd.send(text, pieceBytes);
        awaitReading();
        ASSERT_TRUE(isAlive());
        EXPECT_LE(openDescriptors(), connectionsThatFit + otherDescriptors);
        EXPECT_TRUE(crowd.finish());
        ASSERT_TRUE(isAlive());
        EXPECT_TRUE(isOrdinaryRequestAnswered());
        EXPECT_TRUE(awaitNoHeldBytes());
        EXPECT_LE(peakMemoryBytes(), memoryBytes);
        EXPECT_GT(peakMemoryBytes(), 0U);
    }

    pid_t m_process = -1;
    std::uint16_t m_port = 0;
};

TEST_F(EntryCrowdTest, WithstandsWholeBodiesThatStopOneByteShort)
{
    withstand(announced(bodyLimitBytes, bodyLimitBytes - 1));
    EXPECT_TRUE(hasEvictedBodies());
}

TEST_F(EntryCrowdTest, WithstandsBodiesInPiecesThatStopOneByteShort)
{
    withstand(announced(bodyLimitBytes, bodyLimitBytes - 1), 4096);
    EXPECT_TRUE(hasEvictedBodies());
}

TEST_F(EntryCrowdTest, WithstandsLargeChunksThatStopShort)
{
    withstand(chunked(16384, bodyLimitBytes));
    EXPECT_TRUE(hasEvictedBodies());
}

TEST_F(EntryCrowdTest, WithstandsVerySmallChunksThatStopShort)
{
    withstand(chunked(8, bodyLimitBytes));
    EXPECT_TRUE(hasEvictedBodies());
}

TEST_F(EntryCrowdTest, WithstandsAnnouncedBodiesFarOverTheLimit)
{
    withstand(announced(std::size_t { 64 } << 20U, std::size_t { 1 } << 20U));
}

// Four times the limit: a server that reads a refused body to its end keeps these connections.
TEST_F(EntryCrowdTest, WithstandsAnnouncedBodiesOverTheLimitThatStopShort)
{
    constexpr std::size_t length = 4 * bodyLimitBytes;
    withstand(announced(length, length - 1));
}

TEST_F(EntryCrowdTest, WithstandsUnannouncedBodiesFarOverTheLimit)
{
    withstand(chunked(16384, std::size_t { 4 } << 20U));
}

// Heads that do not end, on more connections than the process has places for.
TEST_F(EntryCrowdTest, AnswersOthersBesideHeadsThatDoNotEnd)
{
    Crowd crowd(m_port, crowdSize);
    crowd.send("PUT /v1/jobs/k1 HTTP/1.1\r\nHost: a\r\n", wholeBody);
    for (int call = 0; call < 12 && isAlive(); ++call)
        ASSERT_TRUE(isOrdinaryRequestAnswered());
    // A request that is not a probe is served as well.
    const std::string request = absl::StrCat(
        "DELETE /v1/nothing HTTP/1.1\r\nHost: a\r\nConnection: close\r\n", "Authorization: Bearer ", token, "\r\n\r\n");
    EXPECT_TRUE(absl::StrContains(requestOnce(m_port, request), "permissionDenied"));
    EXPECT_LE(openDescriptors(), connectionsThatFit + otherDescriptors);
    EXPECT_TRUE(crowd.finish());
    EXPECT_TRUE(isOrdinaryRequestAnswered());
    EXPECT_LE(peakMemoryBytes(), memoryBytes);
}

// The same with bodies that are announced and of which nothing is sent, and with connections that send nothing.
TEST_F(EntryCrowdTest, AnswersOthersBesideConnectionsThatSendNothingMore)
{
    Crowd announcing(m_port, crowdSize);
    announcing.send(announced(bodyLimitBytes, 0), wholeBody);
    Crowd silent(m_port, crowdSize);
    for (int call = 0; call < 12 && isAlive(); ++call)
        ASSERT_TRUE(isOrdinaryRequestAnswered());
    EXPECT_LE(openDescriptors(), connectionsThatFit + otherDescriptors);
    EXPECT_LE(peakMemoryBytes(), memoryBytes);
}

// The body is read to its end and parsed: an unknown field is found in it.
TEST_F(EntryCrowdTest, ServesASingleBodyJustInsideTheLimit)
{
    const std::string start = R"({"service":"a","unknown":")";
    const std::string body = absl::StrCat(start, std::string(bodyLimitBytes - start.size() - 2, 'x'), "\"}");
    const std::string request
        = absl::StrCat(head(absl::StrCat("Connection: close\r\nContent-Length: ", body.size(), "\r\n")), body);
    EXPECT_TRUE(absl::StrContains(requestOnce(m_port, request), "unknownField"));
    EXPECT_TRUE(isAlive());
}

} // namespace
} // namespace mangohall
