#pragma once

#include <string>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "ports/store_codec_port.h"

namespace mangohall {

// Encodes an owner record as the name of its node. Decoding the text "bad" fails.
class FakeStoreCodec : public StoreCodec {
public:
    std::string encode(const StoreValue& value) const override { return std::get<OwnerRecord>(value).node.str(); }

    absl::StatusOr<StoreValue> decode(absl::string_view key, absl::string_view bytes) const override
    {
        if (bytes == "bad")
            return makeError(ErrorKind::MalformedBody, absl::StrCat(key, ": bad"));
        return StoreValue(ownerRecord(bytes));
    }

    static OwnerRecord ownerRecord(absl::string_view node)
    {
        OwnerRecord record;
        record.node = NodeName(node);
        return record;
    }
};

// The name of the node in the owner record of an entry.
inline std::string nodeOf(const StoreEntry& entry)
{
    return std::get<OwnerRecord>(entry.value).node.str();
}

} // namespace mangohall
