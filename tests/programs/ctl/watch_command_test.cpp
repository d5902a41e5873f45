// Tests of the watch command.
#include "programs/ctl/fake_entry_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

class WatchCommandTest : public testing::Test, protected ClientFixture {
protected:
    // The last path segment and the query of each request.
    std::vector<std::string> targets() const
    {
        std::vector<std::string> all;
        for (const HttpRequest& request : m_entry.m_requests)
            all.push_back(request.url.substr(request.url.rfind('/')));
        return all;
    }
};

TEST_F(WatchCommandTest, ListsThenWatchesAndResumesAfterTheLastPrintedRevision)
{
    m_entry.m_streamResponses = {
        { 200, {}, "{\"heartbeat\":true}\n{\"revision\":11,\"changed\":[]}\n{\"revision\":12,\"chan" },
        { 200, {}, "{\"revision\":11,\"changed\":[]}\n{\"revision\":12,\"changed\":[]}\n" },
    };
    EXPECT_EQ(run({ "watch", "drains", "--count", "3" }), ExitCode::Ok);
    const std::vector<std::string> expected = { "/drains?declared=true", "/drains?watch=10", "/drains?watch=11" };
    EXPECT_EQ(targets(), expected);
    EXPECT_EQ(m_out.str(),
        "{\"items\":[],\"revision\":10}\n{\"changed\":[],\"revision\":11}\n{\"changed\":[],\"revision\":12}\n");
}

TEST_F(WatchCommandTest, ListsAgainWhenTheRevisionHasExpired)
{
    const HttpResponse expired = errorResponse(ErrorKind::WatchExpired);
    m_entry.m_streamResponses = { expired, { 200, {}, expired.body + "\n" }, { 200, {}, "{\"revision\":20}\n" } };
    EXPECT_EQ(run({ "watch", "drains", "--revision", "3", "--count", "3" }), ExitCode::Ok);
    const std::vector<std::string> expected = { "/drains?watch=3", "/drains?declared=true", "/drains?watch=10",
        "/drains?declared=true", "/drains?watch=10" };
    EXPECT_EQ(targets(), expected);
}

TEST_F(WatchCommandTest, StopsOnARefusalAndWhenNoEntryIsReachable)
{
    m_entry.m_streamResponses = { errorResponse(ErrorKind::PermissionDenied) };
    EXPECT_EQ(run({ "watch", "drains", "--revision", "3" }), ExitCode::Refused);
    EXPECT_EQ(run({ "watch", "drains", "--revision", "3" }), ExitCode::Unreachable);
    EXPECT_FALSE(m_pause.m_pauses.empty());
}

} // namespace
} // namespace mangohall
