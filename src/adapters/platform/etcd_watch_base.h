#pragma once

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "adapters/platform/etcd_context_type.h"
#include "ports/store_port.h"

namespace mangohall {

// A watch on a prefix. It parses the messages of the stream line by line, reports each batch of changes and records the
// next revision to read. If the connection is silent for too long, it opens a new one from that revision, so that no
// change is lost. After open() it is used only by the thread of the HTTP client.
class EtcdWatch : public std::enable_shared_from_this<EtcdWatch> {
public:
    EtcdWatch(std::shared_ptr<EtcdContext> context, const StoreWatch& request, StorePort::Done done);

    // Sends the watch request, starting at the next revision to read, to the current endpoint.
    void open();

private:
    // Each of these returns false if the watch has ended and the stream is to be closed. A piece is any part of the
    // stream, a line is one message.
    bool handlePiece(absl::string_view piece);
    bool handleLine(absl::string_view line);
    bool handleMessage(const EtcdResponse& message);
    bool handleChanges(const EtcdResponse& message);
    // Reopens a confirmed watch whose connection timed out; ends it otherwise.
    void handleClosed(const absl::StatusOr<HttpResponse>& response);
    // The reason for which the stream was closed.
    absl::Status closingStatus(const absl::StatusOr<HttpResponse>& response) const;
    // Ends the watch and reports the error to the caller.
    void fail(const absl::Status& status);

    const std::shared_ptr<EtcdContext> m_context;
    const std::string m_prefix;
    const StorePort::Done m_done;
    // The first revision that has not been read.
    Revision m_nextRevision;
    std::size_t m_endpoint = 0;
    // The part of the next line that has arrived.
    std::string m_partialLine;
    // Whether the store has confirmed the watch on the current connection.
    bool m_isCreated = false;
    // Whether the final status has been reported.
    bool m_isOver = false;
};

} // namespace mangohall
