"""Two services with model engines: streams of a route run at the other service."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import bed  # noqa: E402

APPLY_S = 2.0  # config_apply_ms


def configuration(version, reports_at, services):
    """`notes` stands on the service pool-a in every version; `reports` is moved."""
    return bed.config(version, [
        bed.route("notes", "pool-a", "stream", timeout_ms=6000, target_ms=1500, gap_aim_ms=180),
        bed.route("reports", reports_at, "stream", timeout_ms=6000, target_ms=1500,
                  gap_aim_ms=180)],
        services=services, engines={name: bed.engine_traits() for name in services})


async def main(folder, trouble):
    the_bed = bed.Bed(folder, hosts=3)
    sent = {}
    answers = {}

    async def stream(route, number):
        request = "%s-%d" % (route, number)
        sent[request] = bed.now()
        host = the_bed.hosts[number % len(the_bed.hosts)]
        answer = await bed.call(
            host.callers, "POST", "/%s/x" % route,
            {"Request-Id": request, "Deadline-Ms": 6000, "Authorization": "Bearer key-1",
             "Model": "m", "Token-Counts": "300,16",
             "Prompt-Prefix": "aa:79,%x:221" % (4096 + number)}, b"p" * 300)
        answers[request] = answer.status if answer else "cut"
        the_bed.record.add("answer", request=request, status=answers[request])

    async def traffic(first):
        for turn in range(20):
            number = first + 3 * turn
            await asyncio.gather(*[stream(route, number + one)
                                   for route in ("notes", "reports") for one in range(3)])

    try:
        await the_bed.begin(configuration(1, "pool-a", ["pool-a"]))
        for service in ("pool-a", "pool-b"):
            for number in range(2):
                name = "%s-%d" % (service, number)
                zone = the_bed.zones[number]
                await the_bed.add_server(service, name, zone, server=bed.Engine(
                    the_bed.record, service, name, zone))
        beats = the_bed.heartbeat_forever()
        await asyncio.sleep(4)
        await traffic(0)
        acknowledged = bed.now()
        if trouble:
            # A version adds the second service and moves the route `reports` to it.
            the_bed.configure(configuration(2, "pool-b", ["pool-a", "pool-b"]))
        await asyncio.sleep(APPLY_S + 0.5)
        await traffic(1000)
        beats.cancel()
    finally:
        await the_bed.end()

    ran = {}
    for server in the_bed.servers.values():
        for _, request, outcome in server.arrived:
            if outcome == "ran":
                ran.setdefault(request, []).append(server.service)
    before = [one for one in sent if sent[one] < acknowledged]
    after = [one for one in sent if sent[one] > acknowledged + APPLY_S]

    def at(requests, route, service):
        return sum(1 for one in requests if one.startswith(route) and
                   service in ran.get(one, []))
    for name, requests in (("before", before), ("after", after)):
        the_bed.record.say("%s: notes at pool-a %d, at pool-b %d; reports at pool-a %d, at pool-b %d" % (
            name, at(requests, "notes", "pool-a"), at(requests, "notes", "pool-b"),
            at(requests, "reports", "pool-a"), at(requests, "reports", "pool-b")))
    never_allowed = at(sent, "notes", "pool-b")
    stale = at(after, "reports", "pool-a") if trouble else 0
    if len(after) < 100 or not at(before, "notes", "pool-a"):
        raise bed.CannotRun("too few streams ran")
    the_bed.record.say("rule ROUTE: %d runs that no configuration ever allowed; "
                       "rule CONFIG: %d runs by the old service" % (never_allowed, stale))
    return never_allowed > 0


bed.run(main, __file__)
