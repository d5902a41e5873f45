#include "adapters/platform/etcd_request_func.h"

#include <algorithm>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace mangohall {

namespace {

using Json = nlohmann::json;

constexpr char largestByte = '\xff';
constexpr absl::string_view zeroByte("\0", 1);

// Returns the first key after all keys with the prefix. A zero byte means the end of the key space.
std::string rangeEnd(absl::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty() && end.back() == largestByte)
        end.pop_back();
    if (end.empty())
        return std::string(zeroByte);
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
    return end;
}

Json prefixRange(absl::string_view prefix)
{
    const absl::string_view first = prefix.empty() ? zeroByte : prefix;
    return { { "key", absl::Base64Escape(first) }, { "range_end", absl::Base64Escape(rangeEnd(prefix)) } };
}

Json transaction(absl::string_view key, Revision expected, Json success)
{
    const std::string encodedKey = absl::Base64Escape(key);
    Json comparison = {
        { "result", "EQUAL" },
        { "target", "MOD" },
        { "key", encodedKey },
        { "mod_revision", absl::StrCat(expected) },
    };
    Json readCurrent = { { "request_range", { { "key", encodedKey } } } };
    return {
        { "compare", Json::array({ std::move(comparison) }) },
        { "success", Json::array({ std::move(success) }) },
        { "failure", Json::array({ std::move(readCurrent) }) },
    };
}

} // namespace

std::string etcdGetBody(absl::string_view key)
{
    return Json({ { "key", absl::Base64Escape(key) } }).dump();
}

std::string etcdListBody(absl::string_view prefix)
{
    return prefixRange(prefix).dump();
}

std::string etcdPutBody(absl::string_view key, Revision expected, absl::string_view value, std::int64_t lease)
{
    Json put = { { "key", absl::Base64Escape(key) }, { "value", absl::Base64Escape(value) } };
    if (lease != 0)
        put["lease"] = absl::StrCat(lease);
    return transaction(key, expected, { { "request_put", std::move(put) } }).dump();
}

std::string etcdDeleteBody(absl::string_view key, Revision expected)
{
    Json deletion = { { "key", absl::Base64Escape(key) } };
    return transaction(key, expected, { { "request_delete_range", std::move(deletion) } }).dump();
}

std::string etcdGrantLeaseBody(absl::Duration timeToLive)
{
    const std::int64_t seconds = absl::ToInt64Seconds(absl::Ceil(timeToLive, absl::Seconds(1)));
    return Json({ { "TTL", absl::StrCat(std::max<std::int64_t>(seconds, 1)) } }).dump();
}

std::string etcdLeaseBody(std::int64_t lease)
{
    return Json({ { "ID", absl::StrCat(lease) } }).dump();
}

std::string etcdWatchBody(absl::string_view prefix, Revision startRevision)
{
    Json create = prefixRange(prefix);
    create["start_revision"] = absl::StrCat(startRevision);
    create["progress_notify"] = true;
    return Json({ { "create_request", std::move(create) } }).dump();
}

} // namespace mangohall
