#pragma once

#include "ports/store_codec_port.h"

namespace mangohall {

// Encodes the values in the store: the ledger, which is large and often written, in Thrift's compact protocol, and the
// values that operators and maintainers read, as JSON.
class WireStoreCodec : public StoreCodec {
public:
    std::string encode(const StoreValue& value) const override;
    // Decodes the value of a key; the prefix of the key determines the type. MalformedBody if that fails. A
    // configuration object is returned with revision 0, because its revision is the mod revision of its key.
    absl::StatusOr<StoreValue> decode(absl::string_view key, absl::string_view bytes) const override;
};

} // namespace mangohall
