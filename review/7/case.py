"""Engines whose event ids rise by more than one: every stream is cut."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import bed  # noqa: E402

APPLY_S = 2.0     # config_apply_ms
LOST_ALLOWED = 3  # rule LOST, "at any time": more than three times
EVENTS = 12


class NumberingEngine(bed.Engine):
    """Numbers its events by the tokens made so far: `step` tokens an event."""

    step = 1

    async def stream(self, message, reader, writer):
        self.note(message, "ran")
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n")
        for key, value in self.headers(message):
            head += "%s: %s\r\n" % (key, value)
        writer.write((head + "\r\n").encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(0.03)
            if writer.is_closing() or reader.at_eof():
                self.record.add("left-by-host", server=self.instance,
                                request=message.get("request-id"), event=number)
                return
            event = ("id: %d\ndata: %s %d\n\n" % (
                number * self.step, message.get("request-id"), number)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main(folder, trouble):
    the_bed = bed.Bed(folder, hosts=4)
    NumberingEngine.step = 4 if trouble else 1
    whole, cut, ran, sent = [], [], set(), {}

    def request_bytes(path, request, headers, body):
        head = "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n" % (path, request)
        head += "Authorization: Bearer key-1\r\nContent-Length: %d\r\n" % len(body)
        return (head + "".join("%s: %s\r\n" % one for one in headers) + "\r\n").encode() + body

    async def caller(host, number):
        """Keeps its connection: a call that is answered, then a stream."""
        reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
        name = "%s-%d" % (host.name, number)
        try:
            writer.write(request_bytes("/confirm/x", "call-" + name, [("Deadline-Ms", 1500)],
                                       b"abc"))
            first = await bed.read_message(reader)
            the_bed.record.add("answer", request="call-" + name, status=first.first.split()[1])
            sent["stream-" + name] = bed.now()
            writer.write(request_bytes("/reports/x", "stream-" + name, [
                ("Deadline-Ms", 39000), ("Model", "m"), ("Token-Counts", "300,%d" % (4 * EVENTS)),
                ("Prompt-Prefix", "aa:79,%x:221" % (4096 + number))], b"p" * 300))
            head = await bed.read_head(reader)
            body = await bed.read_body(reader, head)
            pieces = body.body.count(b"data: ")
            the_bed.record.add("answer", request="stream-" + name,
                               status=head.first.split()[1], pieces=pieces, end="whole")
            whole.append(("stream-" + name, head.first.split()[1], pieces))
        except (asyncio.IncompleteReadError, OSError) as why:
            the_bed.record.add("connection-ended", request="stream-" + name,
                               how=type(why).__name__)
            cut.append("stream-" + name)
        finally:
            writer.close()

    try:
        await the_bed.begin(bed.config(1, [
            bed.route("confirm", "app", "unsafe", timeout_ms=1500),
            bed.route("reports", "pool", "stream", timeout_ms=39000, target_ms=1800,
                      gap_aim_ms=180)],
            services=["app", "pool"], engines={"pool": bed.engine_traits()}))
        for number in range(2):
            zone = the_bed.zones[number]
            await the_bed.add_server("app", "i-%d" % number, zone)
            await the_bed.add_server("pool", "e-%d" % number, zone, server=NumberingEngine(
                the_bed.record, "pool", "e-%d" % number, zone))
        beats = the_bed.heartbeat_forever()
        await asyncio.sleep(4)
        told = the_bed.hosts[0]
        told.signal(signal.SIGHUP)   # its settings file is the same as before
        signalled = bed.now()
        await asyncio.sleep(0.1)
        await asyncio.gather(*[caller(host, number) for host in the_bed.hosts
                               for number in range(8)])
        beats.cancel()
    finally:
        await the_bed.end()
    for server in the_bed.servers.values():
        ran.update(one[1] for one in server.arrived if one[2] == "ran")
    lost = [one for one in cut if one in ran]
    after_signal = [one for one in lost if one.startswith("stream-%s-" % told.name) and
                    signalled <= sent[one] <= signalled + APPLY_S]
    good = [one for one in whole if one[1] == "200" and one[2] == EVENTS]
    if len(ran) < 60:
        raise bed.CannotRun("too few requests ran")
    the_bed.record.say("32 streams on kept connections: %d whole, %d run by a sound engine and "
                       "cut by the host, %d of these within 2 s of the host's SIGHUP" % (
                           len(good), len(lost), len(after_signal)))
    broken = len(after_signal) > 0 or len(lost) > LOST_ALLOWED
    the_bed.record.say("rule LOST %s" % ("broken" if broken else "held"))
    return broken


bed.run(main, __file__)
