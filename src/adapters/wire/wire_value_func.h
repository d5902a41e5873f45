// Conversion of times, enumerators, names and lists to and from Thrift. Each message type has a pair of functions
// `toWire` and `fromWire` in the file of its aggregate.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "adapters/wire/table/enum_table.h"
#include "adapters/wire/wire_fault_base.h"
#include "core/error_type.h"
#include "core/name_type.h"

namespace mangohall {

// Times and durations in microseconds; a fraction of a microsecond is cut off.
std::int64_t toWireTime(absl::Time time);
absl::Time timeFromWire(std::int64_t micros);
std::int64_t toWireDuration(absl::Duration duration);
absl::Duration durationFromWire(std::int64_t micros);

// An error kind is sent as its name, None as an empty text. An unknown name is recorded as a fault and read as
// Internal.
std::string toWireErrorKind(ErrorKind kind);
ErrorKind errorKindFromWire(absl::string_view name, WireFault& fault);

// Looks up the wire value of an enumerator. An enumerator without a row gives the wire value of the first row.
template <typename Domain, typename Wire, std::size_t rowCount>
Wire toWireEnum(const EnumRow<Domain, Wire> (&table)[rowCount], Domain value)
{
    for (const EnumRow<Domain, Wire>& row : table) {
        if (row.domain == value)
            return row.wire;
    }
    return table[0].wire;
}

// Looks up the enumerator of a wire value. A value without a row is recorded as a fault under the name of the field and
// read as the enumerator of the first row.
template <typename Domain, typename Wire, std::size_t rowCount>
Domain enumFromWire(
    const EnumRow<Domain, Wire> (&table)[rowCount], std::int32_t value, absl::string_view field, WireFault& fault)
{
    for (const EnumRow<Domain, Wire>& row : table) {
        if (static_cast<std::int32_t>(row.wire) == value)
            return row.domain;
    }
    fault.record(field);
    return table[0].domain;
}

template <typename Wire, typename Domain> std::vector<Wire> listToWire(const std::vector<Domain>& items)
{
    std::vector<Wire> list;
    list.reserve(items.size());
    for (const Domain& item : items)
        list.push_back(toWire(item));
    return list;
}

template <typename Domain, typename Wire>
std::vector<Domain> listFromWire(const std::vector<Wire>& items, WireFault& fault)
{
    std::vector<Domain> list;
    list.reserve(items.size());
    for (const Wire& item : items)
        list.push_back(fromWire(item, fault));
    return list;
}

template <typename Tag> std::vector<std::string> namesToWire(const std::vector<Name<Tag>>& names)
{
    std::vector<std::string> list;
    list.reserve(names.size());
    for (const Name<Tag>& name : names)
        list.push_back(name.str());
    return list;
}

template <typename NameType> std::vector<NameType> namesFromWire(absl::Span<const std::string> texts)
{
    std::vector<NameType> list;
    list.reserve(texts.size());
    for (const std::string& text : texts)
        list.emplace_back(text);
    return list;
}

} // namespace mangohall
