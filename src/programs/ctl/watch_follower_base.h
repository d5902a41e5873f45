#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "core/name_type.h"
#include "programs/ctl/command_base.h"

namespace mangohall {

// Follows the changes of one kind, reconnecting when a stream ends. Each stream resumes after the last revision that
// was printed. If the system no longer has that revision, the resources are listed again.
class WatchFollower {
public:
    // follow() ends after `maxLines` printed lines; 0 means no limit. The context must outlive this object.
    WatchFollower(const CommandContext& context, absl::string_view kind, std::uint64_t maxLines);

    // Follows the changes after a revision; without one, lists the current resources first. Returns Ok after maxLines
    // lines, the reply's exit code if a request was rejected, and Unreachable after 8 attempts in a row without
    // progress.
    ExitCode follow(absl::optional<Revision> revision);

private:
    // Lists the resources, prints the list as one line and sets m_revision. No retries.
    EntryReply listCurrent();
    // Opens one stream after m_revision and returns when it has ended.
    EntryReply streamOnce();
    // Handles the complete lines of the data received so far. Returns false to end the stream.
    bool handlePiece(absl::string_view piece);
    // Prints a change that was not printed before. An error line with WatchExpired clears m_revision.
    void handleLine(const std::string& line);
    void print(const nlohmann::json& line);
    bool isDone() const { return m_maxLines > 0 && m_lines >= m_maxLines; }

    const CommandContext& m_context;
    const std::string m_kind;
    const std::uint64_t m_maxLines;
    // Number of lines printed so far.
    std::uint64_t m_lines = 0;
    // Last revision that was printed; nothing if the resources have to be listed.
    absl::optional<Revision> m_revision;
    // Received part of an incomplete line. It is dropped when a stream breaks off, as the next stream sends the line
    // again.
    std::string m_incompleteLine;
    // True if the latest list or stream brought data.
    bool m_hasProgressed = false;
};

} // namespace mangohall
