#include "programs/ctl/fake_entry_base.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "adapters/json/answer_json_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

std::string pathOf(const HttpRequest& request)
{
    const std::string path = request.url.substr(request.url.find('/', std::string("http://").size()));
    return path.substr(0, path.find('?'));
}

std::string headerOf(const HttpRequest& request, const std::string& name)
{
    for (const HttpHeader& header : request.headers) {
        if (header.name == name)
            return header.value;
    }
    return "";
}

} // namespace

HttpResponse errorResponse(ErrorKind kind, Revision expected, Revision present)
{
    const EncodedAnswer answer = encodeAnswer(ErrorAnswer { kind, "refused by FakeEntry", expected, present });
    return { answer.httpStatus, {}, answer.body };
}

absl::Status lostResponse()
{
    return makeError(ErrorKind::TimedOut, "no response in time");
}

absl::Status refusedConnection()
{
    return makeError(ErrorKind::OwnerUnreachable, "connection refused");
}

void FakeEntry::send(const HttpRequest& request, Done done)
{
    m_requests.push_back(request);
    if (m_handlers.empty()) {
        done(serve(request));
        return;
    }
    const Handler handler = m_handlers.front();
    m_handlers.pop_front();
    done(handler(request));
}

void FakeEntry::stream(const HttpRequest& request, Piece piece, Done done)
{
    m_requests.push_back(request);
    if (m_streamResponses.empty()) {
        done(refusedConnection());
        return;
    }
    HttpResponse response = m_streamResponses.front();
    m_streamResponses.pop_front();
    // Splits the body at positions other than the ends of lines.
    constexpr std::size_t pieceBytes = 7;
    bool isOpen = true;
    for (std::size_t offset = 0; offset < response.body.size() && isOpen; offset += pieceBytes)
        isOpen = piece(response.body.substr(offset, pieceBytes));
    response.body.clear();
    done(response);
}

absl::StatusOr<HttpResponse> FakeEntry::serve(const HttpRequest& request)
{
    const std::string path = pathOf(request);
    if (request.method == "PUT")
        return put(path, request);
    const auto found = m_objects.find(path);
    if (request.method == "DELETE") {
        if (found == m_objects.end())
            return errorResponse(ErrorKind::NotFound);
        m_objects.erase(found);
        return HttpResponse { 200, {}, absl::StrCat("{\"revision\":", ++m_revision, "}") };
    }
    if (found != m_objects.end())
        return HttpResponse { 200, {}, found->second.dump() };
    const bool isObject = std::count(path.begin(), path.end(), '/') > 2;
    return isObject ? errorResponse(ErrorKind::NotFound) : list(path + "/");
}

HttpResponse FakeEntry::list(const std::string& prefix) const
{
    nlohmann::json body;
    body["revision"] = m_revision;
    body["items"] = nlohmann::json::array();
    for (const auto& [path, object] : m_objects) {
        if (absl::StartsWith(path, prefix))
            body["items"].push_back(object);
    }
    return { 200, {}, body.dump() };
}

HttpResponse FakeEntry::put(const std::string& path, const HttpRequest& request)
{
    const auto found = m_objects.find(path);
    const Revision present = found == m_objects.end() ? 0 : found->second["revision"].get<Revision>();
    const std::string match = headerOf(request, "If-Match");
    const Revision expected = match.empty() ? 0 : std::stoll(match);
    if (present != expected)
        return errorResponse(ErrorKind::RevisionConflict, expected, present);
    nlohmann::json object = nlohmann::json::parse(request.body);
    object["revision"] = ++m_revision;
    object["changeId"] = headerOf(request, "X-Change-Id");
    m_objects[path] = object;
    return { 200, {}, object.dump() };
}

ExitCode ClientFixture::run(std::vector<std::string> words)
{
    const std::vector<std::string> global = { "--entry", "http://one", "--entry=http://two", "--token", "secret" };
    words.insert(words.begin(), global.begin(), global.end());
    return runClient(words, { m_entry, m_random, m_pause, m_out, m_errors });
}

std::string writeFile(const std::string& name, const std::string& text)
{
    const testing::TestInfo* test = testing::UnitTest::GetInstance()->current_test_info();
    std::string path = absl::StrCat(testing::TempDir(), "mangohallctl_", test->name(), "/", name);
    std::filesystem::create_directories(std::filesystem::path(path).parent_path());
    std::ofstream(path) << text;
    return path;
}

} // namespace mangohall
