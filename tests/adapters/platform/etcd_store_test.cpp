#include "adapters/platform/etcd_store_base.h"

#include "adapters/platform/fake_http_client_base.h"
#include "adapters/platform/fake_store_codec_base.h"
#include "nlohmann/json.hpp"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

class EtcdStoreTest : public testing::Test {
protected:
    EtcdStoreTest()
        : m_store(m_http, m_codec, { { "http://a", "http://b" }, absl::Seconds(2), absl::Seconds(5) })
    {
    }

    void start(const StoreRequest& request)
    {
        m_store.start(request, [this](StoreReply reply) { m_replies.push_back(std::move(reply)); });
    }

    nlohmann::json lastBody() const { return nlohmann::json::parse(m_http.lastRequest().body); }
    ErrorKind lastError() const { return errorKindOf(m_replies.back().status); }

    FakeHttpClient m_http;
    FakeStoreCodec m_codec;
    EtcdStore m_store;
    std::vector<StoreReply> m_replies;
};

// The keys with the prefix "a/" are the range from "a/" to "a0", here in base64.
TEST_F(EtcdStoreTest, ListsAPrefix)
{
    start(StoreList { "a/" });
    EXPECT_EQ(m_http.lastRequest().url, "http://a/v3/kv/range");
    EXPECT_EQ(lastBody(), nlohmann::json({ { "key", "YS8=" }, { "range_end", "YTA=" } }));
    m_http.respond(200,
        R"({"header":{"revision":"12"},"kvs":[{"key":"YS8x","value":"bm9kZQ==","mod_revision":"9"}],"count":"1"})");
    ASSERT_EQ(m_replies.size(), 1U);
    EXPECT_TRUE(m_replies[0].status.ok());
    EXPECT_EQ(m_replies[0].revision, 12);
    ASSERT_EQ(m_replies[0].entries.size(), 1U);
    EXPECT_EQ(m_replies[0].entries[0].key, "a/1");
    EXPECT_EQ(m_replies[0].entries[0].modRevision, 9);
    EXPECT_EQ(nodeOf(m_replies[0].entries[0]), "node");
}

TEST_F(EtcdStoreTest, WritesUnderOneComparison)
{
    start(StoreCompareAndSwap { "k", 4, FakeStoreCodec::ownerRecord("node"), 7 });
    EXPECT_EQ(m_http.lastRequest().url, "http://a/v3/kv/txn");
    EXPECT_EQ(lastBody(), nlohmann::json::parse(R"({
        "compare": [{"result": "EQUAL", "target": "MOD", "key": "aw==", "mod_revision": "4"}],
        "success": [{"request_put": {"key": "aw==", "value": "bm9kZQ==", "lease": "7"}}],
        "failure": [{"request_range": {"key": "aw=="}}]})"));
    m_http.respond(200, R"({"header":{"revision":"13"},"succeeded":true,"responses":[{"response_put":{}}]})");
    EXPECT_TRUE(m_replies[0].status.ok());
    EXPECT_EQ(m_replies[0].revision, 13);
}

TEST_F(EtcdStoreTest, ReturnsTheCurrentEntryOnAConflict)
{
    start(StoreCompareAndSwap { "k", 4, FakeStoreCodec::ownerRecord("node"), 0 });
    m_http.respond(200,
        R"({"header":{"revision":"13"},"responses":[{"response_range":
            {"kvs":[{"key":"aw==","value":"b3RoZXI=","mod_revision":"6"}],"count":"1"}}]})");
    EXPECT_EQ(lastError(), ErrorKind::RevisionConflict);
    ASSERT_EQ(m_replies[0].entries.size(), 1U);
    EXPECT_EQ(m_replies[0].entries[0].modRevision, 6);
    EXPECT_EQ(nodeOf(m_replies[0].entries[0]), "other");
}

TEST_F(EtcdStoreTest, DeletesWithAnEmptyValue)
{
    start(StoreCompareAndSwap { "k", 4, std::monostate(), 0 });
    EXPECT_EQ(lastBody().at("success"), nlohmann::json::parse(R"([{"request_delete_range":{"key":"aw=="}}])"));
}

TEST_F(EtcdStoreTest, UsesTheNextEndpointAfterAFailureWithoutSendingTwice)
{
    start(StoreGet { "k" });
    m_http.finish(makeError(ErrorKind::TimedOut, "late"));
    EXPECT_EQ(lastError(), ErrorKind::StoreUnavailable);
    EXPECT_EQ(m_http.sentCount(), 1U);
    start(StoreGet { "k" });
    EXPECT_EQ(m_http.lastRequest().url, "http://b/v3/kv/range");
    m_http.respond(503, R"({"error":"no leader","code":14,"message":"no leader"})");
    EXPECT_EQ(lastError(), ErrorKind::StoreUnavailable);
    start(StoreGet { "k" });
    EXPECT_EQ(m_http.lastRequest().url, "http://a/v3/kv/range");
}

TEST_F(EtcdStoreTest, RejectsResponsesThatAreNotFromEtcd)
{
    for (const absl::string_view body : { "<html>", "[]", "{}", "{\"kvs\":[]}" }) {
        start(StoreGet { "k" });
        m_http.respond(200, body);
        EXPECT_EQ(lastError(), ErrorKind::StoreUnavailable) << body;
    }
}

TEST_F(EtcdStoreTest, ReportsAValueThatCannotBeDecoded)
{
    start(StoreGet { "k" });
    m_http.respond(200, R"({"header":{},"kvs":[{"key":"aw==","value":"YmFk"}]})");
    EXPECT_EQ(lastError(), ErrorKind::MalformedBody);
}

TEST_F(EtcdStoreTest, RoundsALeaseUpToSeconds)
{
    start(StoreGrantLease { absl::Milliseconds(5100) });
    EXPECT_EQ(lastBody(), nlohmann::json({ { "TTL", "6" } }));
    m_http.respond(200, R"({"header":{"revision":"1"},"ID":"7587848","TTL":"6"})");
    EXPECT_EQ(m_replies[0].lease, 7587848);
}

TEST_F(EtcdStoreTest, ReportsALapsedLease)
{
    start(StoreKeepLeaseAlive { 8 });
    m_http.respond(200, R"({"result":{"header":{"revision":"1"},"ID":"8"}})");
    EXPECT_EQ(lastError(), ErrorKind::NotFound);
    start(StoreRevokeLease { 8 });
    m_http.respond(404, R"({"error":"requested lease not found","code":5,"message":"requested lease not found"})");
    EXPECT_EQ(lastError(), ErrorKind::NotFound);
}

TEST_F(EtcdStoreTest, ReportsWatchChangesWhereverTheStreamIsSplit)
{
    start(StoreWatch { "a/", 12 });
    EXPECT_EQ(lastBody().at("create_request").at("start_revision"), "13");
    EXPECT_TRUE(m_http.sendPiece(R"({"result":{"header":{"revision":"12"},"created":true}})"
                                 "\n"
                                 R"({"result":{"header":{"revision":"20"},"events":[{"kv":{"key":"YS8x",)"));
    EXPECT_TRUE(m_replies.empty());
    EXPECT_TRUE(m_http.sendPiece(R"("value":"bm9kZQ==","mod_revision":"14"}},)"
                                 R"({"type":"DELETE","kv":{"key":"YS8y","mod_revision":"15"}}]}})"
                                 "\n"));
    ASSERT_EQ(m_replies.size(), 1U);
    EXPECT_EQ(m_replies[0].revision, 15);
    ASSERT_EQ(m_replies[0].entries.size(), 2U);
    EXPECT_EQ(nodeOf(m_replies[0].entries[0]), "node");
    EXPECT_TRUE(m_replies[0].entries[1].isDeleted);
}

TEST_F(EtcdStoreTest, ReopensASilentWatchAtTheNextRevision)
{
    start(StoreWatch { "a/", 12 });
    m_http.sendPiece("{\"result\":{\"header\":{\"revision\":\"12\"},\"created\":true}}\n");
    m_http.sendPiece(R"({"result":{"header":{"revision":"20"},"events":[{"kv":{"key":"YS8x","mod_revision":"14"}}]}})"
                     "\n{\"result\":");
    m_http.finish(makeError(ErrorKind::TimedOut, "silent"));
    EXPECT_EQ(m_replies.size(), 1U);
    EXPECT_EQ(m_http.sentCount(), 2U);
    EXPECT_EQ(lastBody().at("create_request").at("start_revision"), "15");
    // Half a line of the old connection is discarded. The new connection times out before the store confirms
    // the watch, so the watch ends.
    m_http.finish(makeError(ErrorKind::TimedOut, "silent"));
    EXPECT_EQ(lastError(), ErrorKind::StoreUnavailable);
    EXPECT_EQ(m_http.sentCount(), 2U);
}

TEST_F(EtcdStoreTest, AdvancesAWatchOnProgressNotifications)
{
    start(StoreWatch { "a/", 12 });
    m_http.sendPiece("{\"result\":{\"header\":{\"revision\":\"12\"},\"created\":true}}\n");
    m_http.sendPiece("{\"result\":{\"header\":{\"revision\":\"40\"}}}\n");
    m_http.finish(makeError(ErrorKind::TimedOut, "silent"));
    EXPECT_EQ(lastBody().at("create_request").at("start_revision"), "41");
}

TEST_F(EtcdStoreTest, EndsAWatchOfACompactedRevision)
{
    start(StoreWatch { "a/", 12 });
    EXPECT_FALSE(m_http.sendPiece(
        "{\"result\":{\"header\":{\"revision\":\"50\"},\"canceled\":true,\"compact_revision\":\"30\"}}\n"));
    EXPECT_EQ(lastError(), ErrorKind::WatchExpired);
    m_http.respond(200, "");
    EXPECT_EQ(m_replies.size(), 1U);
}

TEST_F(EtcdStoreTest, EndsAWatchThatTheStoreCloses)
{
    start(StoreWatch { "a/", 12 });
    m_http.respond(200, "");
    EXPECT_EQ(lastError(), ErrorKind::StoreUnavailable);
    start(StoreWatch { "a/", 12 });
    m_http.sendPiece("{\"error\":{\"grpc_code\":14,\"http_code\":503,\"message\":\"leaving\"}}\n");
    EXPECT_EQ(lastError(), ErrorKind::StoreUnavailable);
}

} // namespace
} // namespace mangohall
