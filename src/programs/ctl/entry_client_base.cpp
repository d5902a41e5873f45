#include "programs/ctl/entry_client_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "absl/synchronization/notification.h"
#include "core/error_func.h"
#include "programs/ctl/json_field_func.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;
constexpr int httpFirstRedirect = 300;
constexpr std::size_t maxQuotedBodyBytes = 200;
// Bytes kept from the beginning of a stream; the body of an error answer must fit.
constexpr std::size_t maxStreamHeadBytes = std::size_t { 64 } << 10U;

// Entries send heartbeats on a stream more often than this.
constexpr absl::Duration streamIdleTimeout = absl::Seconds(20);

// Returns the error object of an answer, or null if there is none.
const nlohmann::json* errorOf(const EntryReply& reply)
{
    if (reply.outcome != EntryReply::Outcome::Answered || !reply.body.is_object())
        return nullptr;
    const auto found = reply.body.find("error");
    return found == reply.body.end() || !found->is_object() ? nullptr : &*found;
}

// OwnerUnreachable means that the request was not sent; after any other failure it may have arrived.
EntryReply replyFromFailure(const absl::Status& status)
{
    EntryReply reply;
    const bool isSent = errorKindOf(status) != ErrorKind::OwnerUnreachable;
    reply.outcome = isSent ? EntryReply::Outcome::Unknown : EntryReply::Outcome::Unreachable;
    reply.message = std::string(status.message());
    return reply;
}

void setText(EntryReply& reply, const std::string& text)
{
    reply.text = text;
    reply.body = nlohmann::json::parse(text, nullptr, false);
}

EntryReply replyFromResponse(const HttpResponse& response)
{
    EntryReply reply;
    reply.outcome = EntryReply::Outcome::Answered;
    reply.httpStatus = response.status;
    setText(reply, response.body);
    return reply;
}

// True if the entry is draining: it did not process the request, so another entry has to be tried.
bool isEntryDraining(const EntryReply& reply)
{
    return reply.errorKind() == errorName(ErrorKind::Draining);
}

// Blocks the calling thread until the HTTP client's thread has delivered the reply.
class PendingReply {
public:
    HttpClient::Done done()
    {
        return [this](absl::StatusOr<HttpResponse> response) {
            m_reply = response.ok() ? replyFromResponse(*response) : replyFromFailure(response.status());
            m_isDone.Notify();
        };
    }

    EntryReply await()
    {
        m_isDone.WaitForNotification();
        return std::move(m_reply);
    }

private:
    absl::Notification m_isDone;
    EntryReply m_reply;
};

// Merges the reply of the next entry into the replies so far. A reply that only says that an entry was unreachable does
// not replace a more informative one.
void mergeReply(EntryReply& merged, EntryReply reply)
{
    const bool wasUnknown = merged.isEarlierAttemptUnknown || merged.outcome == EntryReply::Outcome::Unknown;
    const bool isWorse
        = reply.outcome == EntryReply::Outcome::Unreachable && merged.outcome != EntryReply::Outcome::Unreachable;
    reply.isReadOnly = merged.isReadOnly;
    if (!isWorse)
        merged = std::move(reply);
    merged.isEarlierAttemptUnknown = wasUnknown;
}

} // namespace

bool EntryReply::isSuccess() const
{
    return outcome == Outcome::Answered && httpStatus >= httpOk && httpStatus < httpFirstRedirect
        && errorOf(*this) == nullptr;
}

std::string EntryReply::errorKind() const
{
    const nlohmann::json* error = errorOf(*this);
    return error == nullptr ? "" : textField(*error, "kind");
}

bool EntryReply::isRetryable() const
{
    if (outcome != Outcome::Answered)
        return true;
    const nlohmann::json* error = errorOf(*this);
    return error != nullptr && isFieldTrue(*error, "retryable");
}

bool EntryReply::isOutcomeUnknown() const
{
    const bool isJob = body.is_object() && body.contains("phase");
    if (isSuccess() || (isReadOnly && !isJob))
        return false;
    if (outcome != Outcome::Answered)
        return outcome == Outcome::Unknown;
    const nlohmann::json* error = errorOf(*this);
    return error == nullptr || textField(*error, "execution") == executionName(Execution::Unknown);
}

std::string EntryReply::describe() const
{
    if (outcome != Outcome::Answered)
        return message.empty() ? "no entry could be reached" : message;
    const nlohmann::json* error = errorOf(*this);
    if (error == nullptr)
        return absl::StrCat("status ", httpStatus, ": ", text.substr(0, maxQuotedBodyBytes));
    return absl::StrCat(textField(*error, "kind"), ": ", textField(*error, "message"));
}

ExitCode exitCodeOf(const EntryReply& reply)
{
    const bool isReadUnanswered = reply.isReadOnly && reply.outcome == EntryReply::Outcome::Unknown;
    if (isReadUnanswered)
        return ExitCode::Unreachable;
    if (reply.outcome == EntryReply::Outcome::Unreachable)
        return reply.isEarlierAttemptUnknown && !reply.isReadOnly ? ExitCode::OutcomeUnknown : ExitCode::Unreachable;
    if (reply.isSuccess())
        return ExitCode::Ok;
    return reply.isOutcomeUnknown() ? ExitCode::OutcomeUnknown : ExitCode::Refused;
}

EntryClient::EntryClient(HttpClient& client, const GlobalOptions& options)
    : m_client(client)
    , m_options(options)
{
}

HttpRequest EntryClient::toHttp(const EntryRequest& request, absl::string_view entry) const
{
    HttpRequest http;
    http.method = request.method;
    http.url = absl::StrCat(absl::StripSuffix(entry, "/"), request.target);
    http.headers = request.headers;
    if (!m_options.token.empty())
        http.headers.push_back({ "Authorization", absl::StrCat("Bearer ", m_options.token) });
    if (!request.body.empty())
        http.headers.push_back({ "Content-Type", "application/json" });
    http.body = request.body;
    http.timeout = m_options.timeout + request.wait;
    return http;
}

EntryReply EntryClient::call(const EntryRequest& request)
{
    EntryReply merged;
    merged.isReadOnly = request.method == "GET";
    for (const std::string& entry : m_options.entries) {
        PendingReply exchange;
        m_client.send(toHttp(request, entry), exchange.done());
        mergeReply(merged, exchange.await());
        if (merged.outcome == EntryReply::Outcome::Answered && !isEntryDraining(merged))
            return merged;
    }
    return merged;
}

EntryReply EntryClient::stream(const EntryRequest& request, HttpClient::Piece piece)
{
    EntryReply merged;
    merged.isReadOnly = true;
    for (const std::string& entry : m_options.entries) {
        HttpRequest http = toHttp(request, entry);
        http.timeout = streamIdleTimeout;
        PendingReply exchange;
        std::string head;
        const HttpClient::Piece recordHead = [&](absl::string_view data) {
            head.append(data.data(), std::min(data.size(), maxStreamHeadBytes - head.size()));
            return piece(data);
        };
        m_client.stream(http, recordHead, exchange.done());
        mergeReply(merged, exchange.await());
        const bool isAnswered = merged.outcome == EntryReply::Outcome::Answered;
        if (isAnswered && merged.httpStatus != httpOk)
            setText(merged, head);
        if ((isAnswered || !head.empty()) && !isEntryDraining(merged))
            return merged;
    }
    return merged;
}

} // namespace mangohall
