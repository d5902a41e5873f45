// Request bodies for the JSON gateway of etcd v3, with keys and values in base64 and 64-bit numbers as strings.
#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "core/name_type.h"

namespace mangohall {

std::string etcdGetBody(absl::string_view key);
std::string etcdListBody(absl::string_view prefix);

// A transaction that writes or deletes if the mod revision of the key equals `expected`, and otherwise reads the
// current entry. A lease of 0 means none.
std::string etcdPutBody(absl::string_view key, Revision expected, absl::string_view value, std::int64_t lease);
std::string etcdDeleteBody(absl::string_view key, Revision expected);

// Rounds the time to live up to whole seconds, at least 1 s.
std::string etcdGrantLeaseBody(absl::Duration timeToLive);
// The body of the calls that keep a lease alive or revoke it.
std::string etcdLeaseBody(std::int64_t lease);
std::string etcdWatchBody(absl::string_view prefix, Revision startRevision);

} // namespace mangohall
