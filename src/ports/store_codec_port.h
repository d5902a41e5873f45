#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "node/store_message_type.h"

namespace mangohall {

// Encodes store values as bytes and decodes them. The prefix of a key determines the type of its value.
class StoreCodec {
public:
    virtual ~StoreCodec() = default;
    virtual std::string encode(const StoreValue& value) const = 0;
    // Decodes the value of the key. Returns MalformedBody for bytes that no version of the system has written.
    virtual absl::StatusOr<StoreValue> decode(absl::string_view key, absl::string_view bytes) const = 0;
};

} // namespace mangohall
