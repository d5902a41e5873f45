// Fakes of the node's ports. They record calls or reply to them at once, on the calling thread.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "ports/caller_port.h"
#include "ports/observer_port.h"
#include "ports/peer_port.h"
#include "ports/store_port.h"
#include "ports/vm_list_port.h"
#include "ports/worker_port.h"

namespace mangohall {

// A list to which several threads may append.
template <typename Item> class ConcurrentList {
public:
    void add(Item item)
    {
        absl::MutexLock lock(&m_mutex);
        m_items.push_back(std::move(item));
    }

    std::vector<Item> items() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_items;
    }

private:
    mutable absl::Mutex m_mutex;
    std::vector<Item> m_items ABSL_GUARDED_BY(m_mutex);
};

// Replies to every request with success at revision 7.
class FakeStorePort : public StorePort {
public:
    void start(const StoreRequest& /*request*/, Done done) override
    {
        StoreReply reply;
        reply.revision = 7;
        done(reply);
    }
};

// Lists one VM in the requested data centre. An empty name gives the error Unavailable.
class FakeVmListPort : public VmListPort {
public:
    void read(const DataCentreName& dataCentre, Done done) override
    {
        if (dataCentre.empty()) {
            done(absl::UnavailableError("down"));
            return;
        }
        VmEntry entry;
        entry.dataCentre = dataCentre;
        done(std::vector<VmEntry> { entry });
    }
};

// Replies to every call with an empty report of the worker.
class FakeWorkerPort : public WorkerPort {
public:
    void call(
        const WorkerName& worker, absl::string_view /*address*/, const WorkerCall& /*request*/, Done done) override
    {
        WorkerReport report;
        report.worker = worker;
        done(report);
    }
};

// Records the address of every message.
class FakePeerPort : public PeerPort {
public:
    void send(const NodeName& /*to*/, absl::string_view address, const PeerMessage& /*message*/) override
    {
        sentTo.add(std::string(address));
    }

    ConcurrentList<std::string> sentTo;
};

// Records the caller of every answer.
class FakeCallerPort : public CallerPort {
public:
    void answer(CallerId caller, const CallerAnswer& /*answer*/, bool /*isLast*/) override { answered.add(caller); }

    ConcurrentList<CallerId> answered;
};

// Records every observation.
class FakeObserverPort : public ObserverPort {
public:
    void observe(const ObservationEffect& observation) override { observed.add(observation); }

    ConcurrentList<ObservationEffect> observed;
};

} // namespace mangohall
