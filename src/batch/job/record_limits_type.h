// Limits on the records of one job, which follow from the largest value that the store takes.
#pragma once

#include <cstdint>

namespace mangohall::batch {

// Divides the largest record among the parts of a job's progress. No encoding is implied: an encoding has to keep the
// sizes that are named here.
struct RecordLimits {
    // The size of a task that is done or was never placed, and what each step and each occurrence adds, in bytes.
    static constexpr std::int64_t closedTaskBytes = 4;
    static constexpr std::int64_t stepBytes = 3;
    static constexpr std::int64_t occurrenceBytes = 3;
    // The size of an open task without its checkpoint, in bytes.
    static constexpr std::int64_t openTaskBytes = 176;

    // The largest record that the store takes, in bytes.
    std::int64_t maxRecordBytes = std::int64_t { 1 } << 20U;

    // The size of the progress of a job whose tasks are all closed, in bytes.
    constexpr std::int64_t maxClosedBytes() const { return maxRecordBytes * 3 / 8; }
    // How many tasks of a job may be open at a time: placed, or to be started again, or done while a start of them may
    // still be executed.
    constexpr std::int64_t maxOpenTasks() const { return maxRecordBytes * 3 / 8 / openTaskBytes; }
    // The size of all checkpoints of a job, in bytes. An encoding may need several bytes for one of them.
    constexpr std::int64_t maxCheckpointBytes() const { return maxRecordBytes / 32; }
};

} // namespace mangohall::batch
