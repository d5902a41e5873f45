// Messages with every field set to a distinct value, for round-trip tests.
#pragma once

#include <vector>

#include "node/peer_message_type.h"

namespace mangohall {

JobSpec sampleSpec();
std::vector<TaskPlacement> samplePlacement();
JobRecord sampleRecord();
// One configuration object of each kind.
std::vector<ConfigObject> sampleConfigObjects();
// At least one payload of each message type.
std::vector<PeerPayload> samplePayloads();

} // namespace mangohall
