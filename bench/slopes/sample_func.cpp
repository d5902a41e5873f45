#include "slopes/sample_func.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "fakes/manual_clock_base.h"

namespace mangohall {

namespace {

constexpr int dataCentres = 12;
constexpr int regions = 5;
constexpr std::int64_t workerMemoryBytes = 1LL << 38U;

DataCentreName dataCentreOf(int shard)
{
    return DataCentreName(absl::StrFormat("dc-%02d", shard % dataCentres));
}

RegionName regionOf(int shard)
{
    return RegionName(absl::StrFormat("region-%d", shard % dataCentres % regions));
}

RackName rackName(int shard, int rack)
{
    return RackName(absl::StrFormat("rack-%02d-%04d", shard, rack));
}

} // namespace

absl::Time sampleNow()
{
    return absl::FromUnixSeconds(1700000000);
}

const Clock& sampleClock()
{
    static const ManualClock clock(sampleNow());
    return clock;
}

JobKey sampleKey(int index)
{
    const int organisation = index % sampleOrganisations;
    return { OrganisationName(absl::StrFormat("organisation-%02d", organisation)), absl::StrFormat("job-%08d", index) };
}

JobSpec sampleSpec(int tasks)
{
    JobSpec spec;
    spec.service = ServiceName("pricing");
    spec.shape = { tasks, 1, Adjacency::Anywhere };
    spec.memoryBytesPerTask = 1LL << 30U;
    spec.expectedRunTime = absl::Hours(3);
    spec.isIdempotent = true;
    spec.payload = std::string(samplePayloadBytes, 'p');
    return spec;
}

ShardName sampleShard(int index)
{
    return ShardName(absl::StrFormat("shard-%02d", index));
}

std::vector<TaskPlacement> samplePlacement(const ShardName& shard, int firstTask, int tasks)
{
    std::vector<TaskPlacement> placement;
    for (int task = firstTask; task < firstTask + tasks; ++task) {
        const WorkerName worker(absl::StrFormat("worker-00-%05d", task / sampleAcceleratorsPerWorker));
        placement.push_back({ task, shard, worker, "run-0123456789abcdef", { 7, 12345 } });
    }
    return placement;
}

TaskReport sampleReport(const JobKey& job, int attempt, int index, TaskState state)
{
    TaskReport report;
    report.task = { job, attempt, index };
    report.state = state;
    if (state == TaskState::Succeeded)
        report.result = std::string(sampleResultBytes, 'r');
    report.usage = { 900, 1LL << 30U, 1 };
    return report;
}

std::vector<VmEntry> sampleVms(int shard, int workers)
{
    std::vector<VmEntry> vms;
    for (int index = 0; index < workers; ++index) {
        VmEntry vm;
        vm.worker = WorkerName(absl::StrFormat("worker-%02d-%05d", shard, index));
        vm.address = absl::StrCat("10.0.", index / 250, ".", index % 250, ":8080");
        vm.region = regionOf(shard);
        vm.dataCentre = dataCentreOf(shard);
        vm.rack = rackName(shard, index / sampleWorkersPerRack);
        vm.capacity = { 64000, workerMemoryBytes, sampleAcceleratorsPerWorker };
        vms.push_back(std::move(vm));
    }
    return vms;
}

Directory sampleDirectory(int members, int shards, int workersPerShard)
{
    Directory directory;
    for (int index = 0; index < members; ++index) {
        Member member;
        member.node = NodeName(absl::StrFormat("scheduler-%03d", index));
        member.address = absl::StrCat("10.1.0.", index, ":7000");
        member.region = regionOf(index);
        member.dataCentre = dataCentreOf(index);
        directory.members.emplace(member.node, member);
    }
    for (int index = 0; index < shards; ++index) {
        ShardSpec spec;
        spec.name = sampleShard(index);
        spec.region = regionOf(index);
        spec.dataCentre = dataCentreOf(index);
        for (int rack = 0; rack * sampleWorkersPerRack < workersPerShard; ++rack)
            spec.racks.push_back(rackName(index, rack));
        directory.shards.push_back(std::move(spec));
    }
    for (int index = 0; index < sampleOrganisations; ++index) {
        Organisation organisation;
        organisation.name = OrganisationName(absl::StrFormat("organisation-%02d", index));
        organisation.maxQueuedJobs = 1000000;
        directory.organisations.emplace(organisation.name, organisation);
    }
    Service service;
    service.name = ServiceName("pricing");
    directory.services.emplace(service.name, service);
    directory.configRevision = 1;
    return directory;
}

} // namespace mangohall
