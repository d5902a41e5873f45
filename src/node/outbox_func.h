// Turns the contents of an outbox into effects.
#pragma once

#include "membership/directory_type.h"
#include "node/event_type.h"
#include "node/outbox_base.h"

namespace mangohall {

// Empties the outbox and appends its contents to the effects. A message to a shard is sent to the owner that the
// directory names. A message without a reachable receiver is dropped, since its sender repeats it.
void appendEffects(Outbox& outbox, const Directory& directory, const Member& self, Effects& effects);

// The node that owns the shard; empty if there is no owner or the owner is not a live member.
NodeName ownerOf(const Directory& directory, const ShardName& shard);

} // namespace mangohall
