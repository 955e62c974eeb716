#ifndef MEADOWTHREAD_EXCHANGE_BENCH_BENCH_RUNS_H_
#define MEADOWTHREAD_EXCHANGE_BENCH_BENCH_RUNS_H_

#include <cstdint>

namespace meadowthread::bench {

/// @brief Measures the time until every live host knows a change, in virtual
/// time, for several ways of propagation, fleet sizes and a third of the hosts
/// frozen or not. Prints CSV.
/// @param[in] trials number of changes for each row
void RunConsistency(int trials);

/// @brief Measures bytes and CPU time by hosts, items and changes, and memory
/// by items, in virtual time with real messages. Prints CSV.
/// @param[in] seconds virtual time for each row
void RunCost(int seconds);

/// @brief Measures time and bytes until a restarted host has caught up with
/// peers, in virtual time with real messages. Prints CSV.
void RunRestart();

/// @brief Runs hosts on real sockets over loopback and measures CPU time per
/// call, and with a proxy between them the TCP payload bytes per call. Prints
/// CSV.
void RunWire(int hosts, int seconds, int items, bool with_relay);

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_EXCHANGE_BENCH_BENCH_RUNS_H_
