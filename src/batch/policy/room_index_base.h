// The rooms of one choice, by rack.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "batch/policy/allocation_type.h"

namespace mangohall::batch {

// What a task takes from a worker's room.
Resources countedDemand(const StepSpec& spec);

// How many tasks of the demand the resources hold, at most as many as it has.
std::size_t tasksIn(const Resources& available, const StepDemand& demand);

// Finds rooms by rack, keeps what is taken from them, and counts how often they are looked at: a choice's time follows
// that count. Not safe to call from several threads.
class RoomIndex {
public:
    // The rooms have to outlive the index, and to stay in their places and racks.
    explicit RoomIndex(std::vector<WorkerRoom>& rooms);

    // The rooms of the rack; all for an empty one.
    absl::Span<const std::size_t> roomsOn(const RackName& rack) const;
    std::size_t size() const { return m_rooms.size(); }

    // The racks, fullest first, so that large rooms stay whole.
    std::vector<RackName> racksByRoom() const;

    const WorkerRoom& at(std::size_t room) const { return m_rooms[room]; }
    // The same for somebody who weighs the room for a task.
    const WorkerRoom& lookAt(std::size_t room) const
    {
        ++m_looks;
        return m_rooms[room];
    }
    std::int64_t looks() const { return m_looks; }

    // Whether the demand's tasks may run on the room's worker at all.
    static bool isEligible(const WorkerRoom& room, const StepDemand& demand);
    // How many more of the step's tasks the worker may run by the step's own limit.
    static std::size_t stepAllowance(const WorkerRoom& room, const StepDemand& demand);

    // Takes room for a task, and gives back what was taken last from that room.
    void take(std::size_t room, const StepDemand& demand, std::int32_t index);
    void giveBack(std::size_t room);

    // Counts an occupant's room as about to come free, and not any more.
    void markStopping(std::size_t room, std::size_t occupant);
    void unmarkStopping(std::size_t room, std::size_t occupant);

    // Keeps the emptiest workers, rack by rack, for urgent tasks until so many accelerators are kept. Workers with less
    // than the least room are of no use for that.
    void reserveEmptiest(double accelerators, std::int32_t leastRoom);

private:
    struct Rack {
        RackName name;
        std::vector<std::size_t> rooms;
        std::int64_t freeAccelerators = 0;
    };

    std::vector<const Rack*> fullestFirst() const;

    std::vector<WorkerRoom>& m_rooms;
    std::vector<std::size_t> m_all;
    std::vector<Rack> m_racks;
    absl::flat_hash_map<absl::string_view, std::size_t> m_rackOf;
    // The rack of each room.
    std::vector<std::size_t> m_rackOfRoom;
    mutable std::int64_t m_looks = 0;
};

} // namespace mangohall::batch
