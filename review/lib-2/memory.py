"""What the cases on a host's memory share: callers with small requests on kept
connections, and a platform that kills a process which exceeds memory_mb."""
import asyncio
import signal

import bed

LOST_ALLOWED = 3  # rule LOST: more than three times


class Caller:
    """Sends small requests on one kept connection, one after the other."""

    def __init__(self, play, host, number):
        self.play = play
        self.host = host
        self.name = "%s-c%d" % (host.name, number)
        self.count = 0

    async def run(self):
        while not self.play.is_over:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.host.callers)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            kept = 0
            while not self.play.is_over:
                self.count += 1
                request = "%s-%d" % (self.name, self.count)
                try:
                    writer.write(("POST /confirm/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
                                  "Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n"
                                  "Content-Length: 3\r\n\r\nabc" % request).encode())
                    answer = await bed.read_message(reader)
                    kept += 1
                    self.play.answered[request] = answer.first.split()[1]
                    if answer.get("connection").lower() == "close":
                        break
                except (OSError, asyncio.IncompleteReadError, ValueError):
                    self.play.closed.append((request, self.host.name, kept))
                    self.play.bed.record.add("connection-ended", request=request,
                                             host=self.host.name, answers_before=kept)
                    break
            writer.close()


class Play:
    """Callers and the platform of one play."""

    def __init__(self, the_bed, memory_mb):
        self.bed = the_bed
        self.memory_mb = memory_mb
        self.is_over = False
        self.answered = {}
        self.closed = []
        self.peaks = {}
        self.kills = {}
        self.tasks = []

    def begin(self, callers_a_host=8):
        self.tasks.append(self.bed.heartbeat_forever())
        for host in self.bed.hosts:
            self.tasks.append(asyncio.ensure_future(self.watch_memory(host)))
            for number in range(callers_a_host):
                self.tasks.append(asyncio.ensure_future(Caller(self, host, number).run()))

    async def watch_memory(self, host):
        """The platform: a process that exceeds memory_mb is killed, and is
        started again after a short delay."""
        while not self.is_over:
            used = host.memory()
            self.peaks[host.name] = max(self.peaks.get(host.name, 0), used)
            if used > self.memory_mb:
                self.bed.record.add("over-memory", host=host.name, mb="%.1f" % used)
                host.signal(signal.SIGKILL)
                await host.process.wait()
                self.kills[host.name] = self.kills.get(host.name, 0) + 1
                await asyncio.sleep(1.0)
                await host.start()
            await asyncio.sleep(0.004)

    async def end(self):
        self.is_over = True
        await asyncio.sleep(0.3)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.bed.end()

    def is_broken(self):
        ran = {one[1] for server in self.bed.servers.values() for one in server.arrived
               if one[2] == "ran"}
        lost = {}
        for request, host, kept in self.closed:
            if request in ran and request not in self.answered and kept > 0:
                lost[host] = lost.get(host, 0) + 1
        for host in self.bed.hosts:
            self.bed.record.say(
                "%s: peak %.1f MB of %d, ended for its memory %d times, %d small requests from "
                "kept connections run and never answered" % (
                    host.name, self.peaks.get(host.name, 0), self.memory_mb,
                    self.kills.get(host.name, 0), lost.get(host.name, 0)))
        broken = any(count > LOST_ALLOWED for count in lost.values())
        self.bed.record.say("small requests answered: %d; rule LOST %s" % (
            len(self.answered), "broken" if broken else "held"))
        return broken
