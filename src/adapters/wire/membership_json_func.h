// Conversion of member and owner records to and from the JSON that the store holds.
#pragma once

#include "absl/status/statusor.h"
#include "membership/membership_type.h"
#include "nlohmann/json.hpp"

namespace mangohall {

nlohmann::json toJson(const OwnerRecord& record);
nlohmann::json toJson(const Member& member);

// InvalidValue or UnknownField with the name of the field.
absl::StatusOr<OwnerRecord> ownerRecordFromJson(const nlohmann::json& fields);
absl::StatusOr<Member> memberFromJson(const nlohmann::json& fields);

} // namespace mangohall
