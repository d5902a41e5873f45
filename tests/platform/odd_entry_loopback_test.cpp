// Runs complete nodes beside entries of another writer in the list of workers.
#include <atomic>

#include "adapters/json/json_text_func.h"
#include "platform/node_loopback_base.h"
#include "standins/http_server_base.h"

namespace mangohall::platform {
namespace {

using nlohmann::json;

constexpr std::size_t maxValueBytes = std::size_t { 1 } << 20U;

// Answers every call as a worker without runs, and counts the calls.
class CallCounter : public RequestHandler {
public:
    void handle(const ServedRequest& /*request*/, std::shared_ptr<Exchange> exchange) override
    {
        ++m_calls;
        HttpResponse response;
        response.status = 200;
        response.body = R"({"clockMs":1,"born":1,"running":[],"finished":[]})";
        exchange->answer(response);
    }

    int calls() const { return m_calls; }

private:
    std::atomic<int> m_calls = 0;
};

// An entry as a worker of the simulated platform writes it.
json entryAt(const std::string& address)
{
    return { { "service", "desk" }, { "address", address }, { "zone", "here" }, { "state", "ready" }, { "born", 1 },
        { "labels", { "a", "rack-0" } }, { "capacity", { { "cpu", 128000 }, { "memMb", 262144 }, { "gpu", 8 } } } };
}

json withField(json entry, const char* field, json value)
{
    entry[field] = std::move(value);
    return entry;
}

// The entry with a number in the given field, at the top level or of the capacity, written as the given text.
std::string withNumber(const json& entry, const std::string& field, const std::string& number)
{
    const std::string mark = "\"NUMBER\"";
    json changed = entry;
    json& object = entry.at("capacity").contains(field) ? changed["capacity"] : changed;
    object[field] = "NUMBER";
    std::string text = toJsonText(changed);
    return text.replace(text.find(mark), mark.size(), number);
}

std::string nested(std::size_t depth, absl::string_view open, absl::string_view close)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        absl::StrAppend(&text, open);
    absl::StrAppend(&text, "1");
    for (std::size_t level = 0; level < depth; ++level)
        absl::StrAppend(&text, close);
    return text;
}

class OddEntryLoopback : public NodeLoopback {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_server.start("127.0.0.1", 0).ok());
        NodeLoopback::SetUp();
    }

    void TearDown() override
    {
        NodeLoopback::TearDown();
        m_server.stop();
    }

    std::string odd(int number) const { return absl::StrCat("odd-", number); }

    // Writes the entry under a name of its own.
    void put(const std::string& bytes) { m_platform.putEntryBytes(odd(m_count++), bytes); }
    void put(const json& entry) { put(toJsonText(entry)); }

    std::string host() const { return absl::StrCat("127.0.0.1:", m_server.port()); }

    void putAddresses()
    {
        const std::string port = absl::StrCat(":", m_server.port());
        for (const std::string& address :
            { std::string(), std::string("127.0.0.1"), std::string("127.0.0.1:"), std::string("127.0.0.1:0"),
                std::string("127.0.0.1:65536"), std::string("127.0.0.1:99999"), std::string("127.0.0.1:-1"),
                std::string("127.0.0.1:text"), absl::StrCat("127.0.0.1:", (std::int64_t { 1 } << 32) + m_server.port()),
                "localhost" + port, "user:key@127.0.0.1" + port, host() + "/path", host() + "/?query",
                host() + "#fragment", host() + " ", " " + host(), host() + "\r\nHost: other", "[::1]" + port,
                "127.1" + port, std::string(10000, '1') + port })
            put(entryAt(address));
    }

    void putNumbers()
    {
        for (const char* number : { "1e400", "-1e400", "1e308", "9223372036854775808", "18446744073709551616",
                 "-9223372036854775808", "-1", "NaN", "Infinity", "\"Infinity\"" }) {
            for (const char* field : { "cpu", "memMb", "gpu", "born" })
                put(withNumber(entryAt(host()), field, number));
        }
        for (const char* field : { "remainingMs", "slots", "coldLeftMs", "seqNo", "clockMs" })
            put(withNumber(entryAt(host()), field, "1e400"));
        put(withNumber(entryAt(host()), "gpu", "4294967304"));
        put(withNumber(entryAt(host()), "memMb", "17592186044416"));
        put(withNumber(entryAt(host()), "gpu", "2147483647"));
        put(withNumber(entryAt(host()), "born", std::string(10000, '9')));
    }

    void putNesting()
    {
        for (const std::size_t depth : { 1000, 100000 }) {
            put(nested(depth, "[", "]"));
            put(nested(depth, R"({"service":)", "}"));
            put(withNumber(entryAt(host()), "service", nested(depth, "[", "]")));
            put(withNumber(entryAt(host()), "later", nested(depth / 10, R"({"a":)", "}")));
        }
        put(nested(maxValueBytes / 2 - 1, "[", "]"));
        put(std::string(maxValueBytes, '['));
    }

    void putOtherKinds()
    {
        for (const char* bytes :
            { "", "null", "7", "\"text\"", "[]", "{}", "{", "\xff\xfe{}", "{\"service\":\"\xff\"}" })
            put(std::string(bytes));
        for (const char* field : { "service", "address", "zone", "state", "capacity" }) {
            put(withField(entryAt(host()), field, nullptr));
            put(withField(entryAt(host()), field, 7));
            put(withField(entryAt(host()), field, json::array({ "a" })));
        }
        put(withField(entryAt(host()), "state", "odd"));
        put(withField(entryAt(host()), "labels", json::array({ 1, nullptr, "rack-0" })));
        put(withField(entryAt(host()), "labels", std::vector<std::string>(10000, "rack-0")));
        for (const std::string& name : { std::string(), std::string("a\r\nHost: other"), std::string("a b"),
                 std::string("\xc3\xa9"), std::string(192, 'k') + "\n" })
            m_platform.putEntryBytes(name, toJsonText(entryAt(host())));
        // The name can stand in a header, so that a whole entry under it would name a worker.
        m_platform.putEntryBytes("a&b#c%00", "{");
    }

    // Runs a gang that takes up all accelerators of the given number of workers.
    void expectGangRuns(const std::string& job, int workers)
    {
        const std::string path = absl::StrCat("/urgent/", job);
        const std::string body = absl::StrCat(R"({"spec":"short","phases":[{"count":)", workers,
            R"(,"cpu":1000,"memMb":10,"gpu":8,"estimateMs":100,"gang":true}]})");
        EXPECT_EQ(call(0, "POST", path, body).status, 200);
        waitUntil([&] { return call(1, "GET", path).body == R"({"state":"completed"})"; });
        EXPECT_EQ(call(1, "GET", path).body, R"({"state":"completed"})");
    }

    // The nodes use the good workers, follow the list and make no call to an odd entry.
    void expectListIsFollowed(const std::string& jobPrefix)
    {
        expectGangRuns(jobPrefix + "1", 4);
        ASSERT_TRUE(m_platform.addWorker("late", "rack-1").ok());
        expectGangRuns(jobPrefix + "2", 5);
        m_platform.drainWorker("worker-0", absl::Milliseconds(500));
        absl::SleepFor(absl::Seconds(1));
        expectGangRuns(jobPrefix + "3", 4);
        EXPECT_TRUE(m_platform.ruleViolations().empty());
        EXPECT_EQ(m_counter.calls(), 0);
        EXPECT_TRUE(m_nodes[0]->isReady() && m_nodes[1]->isReady());
    }

    // Replaces the entry of a worker for a while by one that names another address and another start.
    void expectUsedAgainAfter(absl::Time start, const std::string& jobPrefix)
    {
        expectGangRuns(jobPrefix + "1", 4);
        json entry = entryAt("127.0.0.1:9");
        entry["born"] = absl::ToUnixMillis(start);
        m_platform.putEntryBytes("worker-1", toJsonText(entry));
        absl::SleepFor(absl::Milliseconds(500));
        m_platform.restoreEntry("worker-1");
        expectGangRuns(jobPrefix + "2", 4);
        EXPECT_TRUE(m_platform.ruleViolations().empty());
    }

    CallCounter m_counter;
    HttpServer m_server { m_counter };
    int m_count = 0;
};

// Guards against calls to an address that is not an IPv4 address and port.
TEST_F(OddEntryLoopback, IgnoresOddAddresses)
{
    putAddresses();
    expectListIsFollowed("00000000000000a");
}

// Guards against a node that ends, stops following the list or uses a capacity that no machine has.
TEST_F(OddEntryLoopback, IgnoresOddNumbers)
{
    putNumbers();
    expectListIsFollowed("00000000000000b");
}

// Guards against a node that ends or stops following the list when an entry is deeply nested.
TEST_F(OddEntryLoopback, IgnoresDeepNesting)
{
    putNesting();
    expectListIsFollowed("00000000000000c");
}

// Guards against a node that ends or stops following the list when an entry cannot be read.
TEST_F(OddEntryLoopback, IgnoresUnreadableEntriesAndOddNames)
{
    putOtherKinds();
    expectListIsFollowed("00000000000000d");
}

// Guards against a worker that is not used again after another writer has replaced its entry for a while.
TEST_F(OddEntryLoopback, UsesAWorkerAgainOnceItsEntryIsBack)
{
    expectGangRuns("00000000000000e1", 4);
    m_platform.putEntryBytes("worker-1", nested(1000, "[", "]"));
    absl::SleepFor(absl::Milliseconds(500));
    m_platform.restoreEntry("worker-1");
    expectGangRuns("00000000000000e2", 4);
    EXPECT_TRUE(m_platform.ruleViolations().empty());
}

// Guards against a worker that is not used again after another writer has named an earlier start for it for a while.
TEST_F(OddEntryLoopback, UsesAWorkerAgainAfterAnEarlierStartWasNamed)
{
    expectUsedAgainAfter(absl::Now() - absl::Hours(24), "00000000000000a");
}

// The same with a start that is earlier than the simulated workers' clock, too, which is behind that of the machine.
TEST_F(OddEntryLoopback, UsesAWorkerAgainAfterTheEarliestStartWasNamed)
{
    expectUsedAgainAfter(absl::UnixEpoch() + absl::Milliseconds(1), "00000000000000c");
}

// Guards against a worker that is not used again after another writer has named a later start for it for a while.
TEST_F(OddEntryLoopback, UsesAWorkerAgainAfterALaterStartWasNamed)
{
    expectUsedAgainAfter(absl::Now() + absl::Hours(24), "00000000000000b");
}

// Lets the odd entries be there when the nodes read the whole list for the first time.
class OddEntryAtStartLoopback : public OddEntryLoopback {
protected:
    void prepareStore() override
    {
        putAddresses();
        putNumbers();
        putNesting();
        putOtherKinds();
    }
};

// Guards against a node that never becomes ready, or ends, because of odd entries in the list.
TEST_F(OddEntryAtStartLoopback, StartsBesideOddEntries)
{
    expectListIsFollowed("00000000000000f");
}

} // namespace
} // namespace mangohall::platform
