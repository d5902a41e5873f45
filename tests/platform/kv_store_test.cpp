// Through which HTTP client the requests to the store are sent.
#include "platform/kv_store_base.h"

#include "platform/recording_http_client_base.h"
#include "gtest/gtest.h"

namespace mangohall::platform {
namespace {

constexpr absl::Duration timeout = absl::Milliseconds(900);

class KvStoreTest : public testing::Test {
protected:
    KvStoreTest()
        : m_store(m_http, m_leaseHttp, "127.0.0.1:1")
    {
    }

    void start(const batch::StoreRequest& request)
    {
        m_store.start(request, timeout, [this](batch::StoreReply reply) { m_replies.push_back(std::move(reply)); });
    }

    RecordingHttpClient m_http;
    RecordingHttpClient m_leaseHttp;
    KvStore m_store;
    std::vector<batch::StoreReply> m_replies;
};

// Guards against an owner that loses its lease while it reaches the store: the renewal waited in the HTTP client behind
// the calls of a large backlog.
TEST_F(KvStoreTest, RenewsALeaseWhileNoOtherRequestIsAnswered)
{
    constexpr std::size_t backlog = 1000;
    for (std::size_t count = 0; count < backlog; ++count)
        start(batch::ReadRecord { { batch::Collection::QueueCounts, "" } });
    start(batch::ReadCollection { batch::Collection::Progress });
    start(batch::RenewLease { 7 });
    EXPECT_EQ(m_http.sent().size(), backlog + 1);
    ASSERT_EQ(m_leaseHttp.sent().size(), 1U);
    EXPECT_EQ(m_leaseHttp.sent().front().request.timeout, timeout);
    HttpResponse renewed;
    renewed.status = 200;
    m_leaseHttp.sent().front().done(renewed);
    ASSERT_EQ(m_replies.size(), 1U);
    EXPECT_TRUE(m_replies.front().status.ok()) << m_replies.front().status;
}

TEST_F(KvStoreTest, SendsAllRequestsForLeasesThroughTheirOwnClient)
{
    start(batch::GrantLease { absl::Seconds(2) });
    start(batch::RenewLease { 7 });
    start(batch::RevokeLease { 7 });
    EXPECT_EQ(m_leaseHttp.sent().size(), 3U);
    EXPECT_TRUE(m_http.sent().empty());
}

} // namespace
} // namespace mangohall::platform
