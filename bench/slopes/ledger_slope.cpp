// Measures the cost of a ledger shard per job and per job record that it retains after the job has ended.
#include <memory>

#include "adapters/wire/store_codec_base.h"
#include "slopes/ledger_driver_base.h"
#include "slopes/measure_func.h"
#include "slopes/slopes_func.h"

namespace mangohall {

namespace {

constexpr int retainedCounts[] = { 1000, 5000, 20000 };
constexpr int sampledJobs = 100;
constexpr int burstJobs = 1000;
constexpr int gangTasks = 512;

void runJobs(LedgerDriver& driver, int first, int count, int tasks)
{
    for (int index = first; index < first + count; ++index) {
        driver.submit(index, tasks);
        driver.replyToAll();
        driver.end(index, tasks);
        driver.replyToAll();
    }
}

void runBurst(LedgerDriver& driver, int first, int count)
{
    for (int index = first; index < first + count; ++index)
        driver.submit(index, 1);
    driver.replyToAll();
    for (int index = first; index < first + count; ++index)
        driver.end(index, 1);
    driver.replyToAll();
}

void measureBucket(const LedgerBucket& bucket, std::uint64_t seed, int retained)
{
    const WireStoreCodec codec;
    const Stopwatch watch;
    const std::string bytes = codec.encode(StoreValue(bucket));
    const double encodeMicros = watch.micros();
    const double jobs = static_cast<double>(bucket.jobs.size());
    print({ "ledger", "bucketBytes", seed, retained, static_cast<double>(bytes.size()), "B" });
    print({ "ledger", "bucketBytesPerRecord", seed, retained, static_cast<double>(bytes.size()) / jobs, "B/record" });
    print({ "ledger", "bucketEncode", seed, retained, encodeMicros, "us/write" });
}

void measureRetained(std::uint64_t seed, int retained)
{
    const HeapGrowth growth;
    LedgerDriver driver(seed);
    runBurst(driver, 0, retained);
    print({ "ledger", "memoryPerHeldRecord", seed, retained, growth.bytes() / retained, "B/record" });
    measureBucket(driver.lastBucket(), seed, retained);
    const std::int64_t writesBefore = driver.storeWrites();
    const std::int64_t messagesBefore = driver.messages();
    const Stopwatch watch;
    runJobs(driver, retained, sampledJobs, 1);
    print({ "ledger", "processorPerJobInSequence", seed, retained, watch.micros() / sampledJobs, "us/job" });
    const double writes = static_cast<double>(driver.storeWrites() - writesBefore);
    print({ "ledger", "storeWritesPerJobInSequence", seed, retained, writes / sampledJobs, "calls/job" });
    const double messages = static_cast<double>(driver.messages() - messagesBefore);
    print({ "ledger", "messagesSentPerJob", seed, retained, messages / sampledJobs, "messages/job" });
    const std::int64_t writesBeforeBurst = driver.storeWrites();
    const Stopwatch burstWatch;
    runBurst(driver, retained + sampledJobs, burstJobs);
    print({ "ledger", "processorPerJobInBurst", seed, retained, burstWatch.micros() / burstJobs, "us/job" });
    const double burstWrites = static_cast<double>(driver.storeWrites() - writesBeforeBurst);
    print({ "ledger", "storeWritesPerJobInBurst", seed, retained, burstWrites / burstJobs, "calls/job" });
}

void measureGang(std::uint64_t seed)
{
    constexpr int gangs = 20;
    const HeapGrowth growth;
    LedgerDriver driver(seed);
    const Stopwatch watch;
    runJobs(driver, 0, gangs, gangTasks);
    print({ "ledger", "processorPerGang", seed, gangTasks, watch.micros() / gangs, "us/job" });
    print({ "ledger", "memoryPerGangRecord", seed, gangTasks, growth.bytes() / gangs, "B/record" });
    const double writes = static_cast<double>(driver.storeWrites());
    print({ "ledger", "storeWritesPerGang", seed, gangTasks, writes / gangs, "calls/job" });
    const LedgerBucket& bucket = driver.lastBucket();
    const std::string bytes = WireStoreCodec().encode(StoreValue(bucket));
    const double records = static_cast<double>(bucket.jobs.size());
    print({ "ledger", "bytesPerGangRecord", seed, gangTasks, static_cast<double>(bytes.size()) / records, "B/record" });
}

} // namespace

void measureLedger(std::uint64_t seed)
{
    for (const int retained : retainedCounts)
        measureRetained(seed, retained);
    measureGang(seed);
}

} // namespace mangohall
