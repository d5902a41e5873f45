// Tests EtcdStore against the stand-in of the store over real connections.
#include "absl/strings/str_cat.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/http/response_waiter_base.h"
#include "adapters/platform/etcd_store_base.h"
#include "adapters/platform/fake_store_codec_base.h"
#include "adapters/platform/reply_queue_base.h"
#include "standins/faulty_handler_base.h"
#include "standins/real_clock_base.h"
#include "standins/store_service_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr std::size_t historyLimit = 1000;
constexpr absl::Duration callTimeout = absl::Seconds(60);
constexpr absl::Duration shortTimeout = absl::Milliseconds(200);

class EtcdLoopbackTest : public testing::Test {
protected:
    EtcdLoopbackTest()
        : m_service(m_clock, m_switches, historyLimit)
        , m_handler(m_service, m_switches)
        , m_server(m_handler)
    {
    }

    void SetUp() override { ASSERT_TRUE(m_server.start("127.0.0.1", 0).ok()); }

    EtcdStore makeStore(absl::Duration timeout)
    {
        return EtcdStore(m_http, m_codec, { { absl::StrCat("http://127.0.0.1:", m_server.port()) }, timeout, timeout });
    }

    StoreReply call(EtcdStore& store, const StoreRequest& request)
    {
        ReplyQueue queue;
        store.start(request, queue.done());
        return queue.take();
    }

    StoreReply put(
        EtcdStore& store, absl::string_view key, Revision expected, absl::string_view node, std::int64_t lease = 0)
    {
        return call(
            store, StoreCompareAndSwap { std::string(key), expected, FakeStoreCodec::ownerRecord(node), lease });
    }

    void setFaults(const nlohmann::json& faults, std::uint64_t newestConnection = 0)
    {
        ASSERT_TRUE(m_switches.set(faults, newestConnection).ok());
    }

    // Sets faults over the HTTP interface of the stand-in, as the operator of a test does.
    void postFaults(absl::string_view faults)
    {
        HttpRequest request;
        request.method = "POST";
        request.url = absl::StrCat("http://127.0.0.1:", m_server.port(), "/admin/faults");
        request.body = std::string(faults);
        request.timeout = callTimeout;
        ResponseWaiter waiter;
        m_http.send(request, waiter.done());
        const absl::StatusOr<HttpResponse> response = waiter.wait();
        ASSERT_TRUE(response.ok()) << response.status();
        ASSERT_EQ(response->status, 200) << response->body;
    }

    RealClock m_clock;
    FaultSwitches m_switches;
    StoreService m_service;
    FaultyHandler m_handler;
    HttpServer m_server;
    FakeStoreCodec m_codec;
    CurlHttpClient m_http { m_clock, {} };
};

TEST_F(EtcdLoopbackTest, ComparesAndSwaps)
{
    EtcdStore store = makeStore(callTimeout);
    const StoreReply created = put(store, "k", 0, "one");
    ASSERT_TRUE(created.status.ok()) << created.status;
    const StoreReply conflict = put(store, "k", 0, "two");
    EXPECT_EQ(errorKindOf(conflict.status), ErrorKind::RevisionConflict);
    ASSERT_EQ(conflict.entries.size(), 1U);
    EXPECT_EQ(conflict.entries[0].modRevision, created.revision);
    EXPECT_EQ(nodeOf(conflict.entries[0]), "one");
    EXPECT_TRUE(call(store, StoreCompareAndSwap { "k", created.revision, std::monostate(), 0 }).status.ok());
    const StoreReply absent = call(store, StoreGet { "k" });
    EXPECT_TRUE(absent.status.ok());
    EXPECT_TRUE(absent.entries.empty());
}

TEST_F(EtcdLoopbackTest, ListsOnlyThePrefix)
{
    EtcdStore store = makeStore(callTimeout);
    for (const absl::string_view key : { "a", "a/1", "a/2", "a0", "b" })
        ASSERT_TRUE(put(store, key, 0, "n").status.ok());
    EXPECT_EQ(call(store, StoreList { "a/" }).entries.size(), 2U);
    EXPECT_EQ(call(store, StoreList { "" }).entries.size(), 5U);
}

TEST_F(EtcdLoopbackTest, ResolvesADroppedWriteResponseByReadingBack)
{
    EtcdStore store = makeStore(callTimeout);
    setFaults({ { "dropAnswerAfterWrite", true } });
    EXPECT_EQ(errorKindOf(put(store, "k", 0, "one").status), ErrorKind::StoreUnavailable);
    setFaults({ { "dropAnswerAfterWrite", false } });
    const StoreReply stored = call(store, StoreGet { "k" });
    ASSERT_EQ(stored.entries.size(), 1U);
    EXPECT_EQ(nodeOf(stored.entries[0]), "one");
}

TEST_F(EtcdLoopbackTest, ReportsALateWriteAsUnavailable)
{
    EtcdStore shortTimeoutStore = makeStore(shortTimeout);
    postFaults(R"({"delayMs":3600000})");
    EXPECT_EQ(errorKindOf(put(shortTimeoutStore, "k", 0, "one").status), ErrorKind::StoreUnavailable);
    postFaults(R"({"delayMs":0})");
    EtcdStore longTimeoutStore = makeStore(callTimeout);
    const StoreReply stored = call(longTimeoutStore, StoreGet { "k" });
    ASSERT_EQ(stored.entries.size(), 1U);
    EXPECT_EQ(nodeOf(stored.entries[0]), "one");
}

TEST_F(EtcdLoopbackTest, DoesNothingWhileFrozenAndGoesOnAfterwards)
{
    EtcdStore longTimeoutStore = makeStore(callTimeout);
    postFaults(R"({"freeze":true})");
    ReplyQueue written;
    longTimeoutStore.start(StoreCompareAndSwap { "k", 0, FakeStoreCodec::ownerRecord("one"), 0 }, written.done());
    EtcdStore shortTimeoutStore = makeStore(shortTimeout);
    EXPECT_EQ(errorKindOf(call(shortTimeoutStore, StoreGet { "k" }).status), ErrorKind::StoreUnavailable);
    postFaults(R"({"freeze":false})");
    EXPECT_TRUE(written.take().status.ok());
}

TEST_F(EtcdLoopbackTest, WorksAgainAfterItsConnectionsWentSilent)
{
    EtcdStore longTimeoutStore = makeStore(callTimeout);
    ASSERT_TRUE(put(longTimeoutStore, "k", 0, "one").status.ok());
    setFaults({ { "silenceOpenConnections", true } }, 1);
    EtcdStore shortTimeoutStore = makeStore(shortTimeout);
    EXPECT_EQ(errorKindOf(call(shortTimeoutStore, StoreGet { "k" }).status), ErrorKind::StoreUnavailable);
    EXPECT_TRUE(call(longTimeoutStore, StoreGet { "k" }).status.ok());
}

TEST_F(EtcdLoopbackTest, IsUnavailableWhileTheStoreRefuses)
{
    EtcdStore store = makeStore(callTimeout);
    setFaults({ { "refuse", true } });
    EXPECT_EQ(errorKindOf(call(store, StoreGet { "k" }).status), ErrorKind::StoreUnavailable);
    setFaults({ { "refuse", false } });
    EXPECT_TRUE(call(store, StoreGet { "k" }).status.ok());
}

TEST_F(EtcdLoopbackTest, ReportsEveryChangeToAWatchInOrder)
{
    EtcdStore store = makeStore(callTimeout);
    const StoreReply first = put(store, "w/1", 0, "one");
    ReplyQueue changes;
    store.start(StoreWatch { "w/", first.revision }, changes.done());
    const StoreReply second = put(store, "w/1", first.revision, "two");
    put(store, "other", 0, "n");
    call(store, StoreCompareAndSwap { "w/1", second.revision, std::monostate(), 0 });
    const StoreReply changed = changes.take();
    EXPECT_EQ(changed.revision, second.revision);
    EXPECT_EQ(nodeOf(changed.entries.at(0)), "two");
    EXPECT_TRUE(changes.take().entries.at(0).isDeleted);
}

TEST_F(EtcdLoopbackTest, ResumesASilentWatchWithoutAGap)
{
    EtcdStore longTimeoutStore = makeStore(callTimeout);
    // The timeout must be longer than a new watch needs to be confirmed, also on a busy machine.
    EtcdStore store = makeStore(absl::Seconds(4));
    const StoreReply first = put(longTimeoutStore, "w/1", 0, "one");
    ReplyQueue changes;
    store.start(StoreWatch { "w/", first.revision }, changes.done());
    const StoreReply second = put(longTimeoutStore, "w/1", first.revision, "two");
    EXPECT_EQ(changes.take().revision, second.revision);
    // Two connections are open: one for the writes, one for the watch.
    setFaults({ { "silenceOpenConnections", true } }, 2);
    CurlHttpClient otherClient(m_clock, {});
    EtcdStore other(
        otherClient, m_codec, { { absl::StrCat("http://127.0.0.1:", m_server.port()) }, callTimeout, callTimeout });
    const StoreReply third = put(other, "w/1", second.revision, "three");
    ASSERT_TRUE(third.status.ok()) << third.status;
    const StoreReply resumed = changes.take();
    ASSERT_TRUE(resumed.status.ok()) << resumed.status;
    EXPECT_EQ(resumed.revision, third.revision);
    EXPECT_EQ(nodeOf(resumed.entries.at(0)), "three");
}

TEST_F(EtcdLoopbackTest, EndsAWatchOfACompactedRevision)
{
    EtcdStore store = makeStore(callTimeout);
    Revision revision = 0;
    for (std::size_t count = 0; count < historyLimit + 2; ++count)
        revision = put(store, "k", revision, "n").revision;
    ReplyQueue changes;
    store.start(StoreWatch { "k", 1 }, changes.done());
    EXPECT_EQ(errorKindOf(changes.take().status), ErrorKind::WatchExpired);
}

TEST_F(EtcdLoopbackTest, DeletesTheKeysOfALeaseThatLapses)
{
    EtcdStore store = makeStore(callTimeout);
    const StoreReply lease = call(store, StoreGrantLease { absl::Seconds(3) });
    ASSERT_TRUE(lease.status.ok()) << lease.status;
    EXPECT_TRUE(call(store, StoreKeepLeaseAlive { lease.lease }).status.ok());
    const StoreReply written = put(store, "member", 0, "n", lease.lease);
    ASSERT_TRUE(written.status.ok()) << written.status;
    ReplyQueue changes;
    store.start(StoreWatch { "member", written.revision }, changes.done());
    EXPECT_TRUE(changes.take().entries.at(0).isDeleted);
    EXPECT_EQ(errorKindOf(call(store, StoreKeepLeaseAlive { lease.lease }).status), ErrorKind::NotFound);
    EXPECT_EQ(errorKindOf(put(store, "member", 0, "n", lease.lease).status), ErrorKind::NotFound);
}

TEST_F(EtcdLoopbackTest, DeletesTheKeysOfALeaseThatIsRevoked)
{
    EtcdStore store = makeStore(callTimeout);
    const StoreReply lease = call(store, StoreGrantLease { absl::Hours(1) });
    ASSERT_TRUE(put(store, "member", 0, "n", lease.lease).status.ok());
    EXPECT_TRUE(call(store, StoreRevokeLease { lease.lease }).status.ok());
    EXPECT_TRUE(call(store, StoreGet { "member" }).entries.empty());
}

TEST_F(EtcdLoopbackTest, EndsOpenRequestsWhenTheClientStops)
{
    ReplyQueue changes;
    {
        CurlHttpClient client(m_clock, {});
        EtcdStore store(
            client, m_codec, { { absl::StrCat("http://127.0.0.1:", m_server.port()) }, callTimeout, callTimeout });
        store.start(StoreWatch { "w/", 0 }, changes.done());
    }
    EXPECT_EQ(errorKindOf(changes.take().status), ErrorKind::StoreUnavailable);
}

} // namespace
} // namespace mangohall
