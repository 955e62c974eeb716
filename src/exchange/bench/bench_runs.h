#ifndef MEADOWTHREAD_EXCHANGE_BENCH_BENCH_RUNS_H_
#define MEADOWTHREAD_EXCHANGE_BENCH_BENCH_RUNS_H_

#include <cstdint>

namespace meadowthread::bench {

/// @brief Time until every live host knows a change, in virtual time, by how
/// versions travel; hosts and frozen thirds vary. Prints CSV.
/// @param[in] trials changes for each row
void RunConsistency(int trials);

/// @brief Bytes and processor time against hosts, items and changes, and memory
/// against items, in virtual time with real messages. Prints CSV.
/// @param[in] seconds of virtual time for each row
void RunCost(int seconds);

/// @brief Time and bytes until a restarted host knows all that its peers know,
/// in virtual time with real messages. Prints CSV.
void RunRestart();

/// @brief Hosts on real sockets over loopback: processor time a call, and with
/// a relay between them the bytes of TCP payload a call. Prints CSV.
void RunWire(int hosts, int seconds, int items, bool with_relay);

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_EXCHANGE_BENCH_BENCH_RUNS_H_
