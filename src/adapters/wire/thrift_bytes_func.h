// Encoding of Thrift structs as bytes of the compact protocol.
#pragma once

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "core/error_func.h"
#include "thrift/protocol/TCompactProtocol.h"
#include "thrift/transport/TBufferTransports.h"

namespace mangohall {

// The limit on the entries of one list. No message has more, and a corrupt count allocates little memory.
inline constexpr int maxListEntries = 32768;

// Encodes a Thrift struct.
template <typename Wire> std::string toCompactBytes(const Wire& value)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

// Decodes a Thrift struct into `value`. MalformedBody if the bytes are not exactly one such struct. A length field that
// points beyond the end of the bytes is rejected before memory is allocated for it.
template <typename Wire> absl::Status fromCompactBytes(absl::string_view bytes, Wire& value)
{
    using apache::thrift::transport::TMemoryBuffer;
    const int size = static_cast<int>(bytes.size());
    const auto limits = std::make_shared<apache::thrift::TConfiguration>(size);
    // TMemoryBuffer takes a non-const pointer, but in OBSERVE mode it only reads.
    auto* const start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    const auto buffer
        = std::make_shared<TMemoryBuffer>(start, static_cast<std::uint32_t>(size), TMemoryBuffer::OBSERVE, limits);
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, size, maxListEntries);
    try {
        value.read(&protocol);
    } catch (const std::exception& error) {
        return makeError(ErrorKind::MalformedBody, error.what());
    }
    if (buffer->available_read() != 0)
        return makeError(ErrorKind::MalformedBody, "trailing bytes after the Thrift struct");
    return absl::OkStatus();
}

} // namespace mangohall
