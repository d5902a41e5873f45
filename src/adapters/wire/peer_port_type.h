// Settings and counters of the connections between peers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace mangohall {

inline constexpr std::size_t bytesPerMebibyte = std::size_t { 1024 } * 1024;

// The largest Thrift frame that peers exchange. It holds a job status with 8 MiB of results.
inline constexpr std::size_t defaultMaxFrameBytes = 9 * bytesPerMebibyte;

// Settings of the sending side.
struct PeerPortSettings {
    absl::Duration connectTimeout = absl::Milliseconds(500);
    absl::Duration sendTimeout = absl::Seconds(1);
    // The time allowed for the acknowledgement of a batch, in addition to its transfer time on the slowest link.
    absl::Duration acknowledgementTimeout = absl::Seconds(1);
    // The lowest throughput for which transfer times are computed.
    std::int64_t slowestLinkBytesPerSecond = 1'000'000;
    // A connection without messages is closed after this time. Shorter than PeerServerSettings::idleTimeout, so that
    // the sending side closes first.
    absl::Duration idleTimeout = absl::Seconds(20);
    // The limits of the queue for one destination; beyond them the oldest messages are dropped.
    std::size_t maxQueuedMessages = 2048;
    std::size_t maxQueuedBytes = 32 * bytesPerMebibyte;
    std::size_t maxBatchMessages = 256;
    // The size limit of a batch. A single larger message is sent as a batch of its own.
    std::size_t maxBatchBytes = bytesPerMebibyte;
    // A message that would need a larger frame is dropped.
    std::size_t maxFrameBytes = defaultMaxFrameBytes;
};

// Numbers of messages sent and dropped since the start, over all destinations.
struct PeerPortCounters {
    // Messages and batches that were acknowledged.
    std::uint64_t messages = 0;
    std::uint64_t batches = 0;
    // The encoded size of the messages, without frames and TCP headers.
    std::uint64_t bytes = 0;
    // Attempts to open a connection.
    std::uint64_t connections = 0;
    // Messages dropped as the oldest of a full queue.
    std::uint64_t droppedOldest = 0;
    // Messages of batches that could not be sent or were not acknowledged in time.
    std::uint64_t droppedUnacknowledged = 0;
    // Messages larger than a frame.
    std::uint64_t droppedTooLarge = 0;
    // Messages to an address that is not of the form "ip:port".
    std::uint64_t droppedBadAddress = 0;
    // Messages given to a stopped port, or still queued when a delivery failed during the stop.
    std::uint64_t droppedAtStop = 0;
};

// Settings of the receiving side.
struct PeerServerSettings {
    std::string ip = "127.0.0.1";
    // The TCP port to bind; 0 binds any free port.
    int port = 0;
    // At this limit new connections wait until others are closed.
    std::int64_t maxConnections = 1024;
    // A connection that receives nothing for this time is closed.
    absl::Duration idleTimeout = absl::Seconds(60);
    // A connection that announces a larger frame is closed.
    std::size_t maxFrameBytes = defaultMaxFrameBytes;
};

} // namespace mangohall
