"""Two of a zone's three hosts are stopped in turn while streams are being asked for."""
import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib'))
import fleet  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {'torrelavega': 3, 'reinosa': 2, 'laredo': 1}
ALL = [('front-%s-%d' % (zone, n + 1), zone) for zone in ZONES for n in range(ZONES[zone])]
HOSTS = [name for name, zone in ALL if zone == 'torrelavega']  # the callers' zone
STOPPED = HOSTS[:2]
GRACE_S = 8.0        # grace_s
GAP_S = 1.3          # gap_s of roll_term
EVENT_MS = 90        # an event holds 4 tokens; the route's gap_aim_ms is 180
LONG, SHORT = 2000, 160  # most tokens generated
CALLS_FROM_S, CALLS_TO_S, CALLS_EVERY_S = 3.1, 6.1, 0.05


def config():
    return {'version': 1,
            'routes': [{'name': 'report', 'host': 'shop.example', 'path_prefix': '/report/',
                        'kind': 'stream', 'timeout_ms': 39000, 'target_latency_ms': 1800,
                        'gap_aim_ms': 180, 'priority': 1, 'service': 'pool',
                        'max_attempts': 1, 'public': False, 'sticky_sessions': True,
                        'resumable': False}],
            'services': [{'name': 'pool', 'engine': fleet.ENGINE}, {'name': 'app'}],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
            'tenants': [{'name': 'tenant-1', 'api_keys': ['key-1']}]}


class Balancer(threading.Thread):
    """Asks each host every second, as PROTOCOL.md has it under Ingress."""

    def __init__(self, f, stop):
        super().__init__(daemon=True)
        self.f, self.stop = f, stop
        self.misses = {name: 0 for name in HOSTS}

    def run(self):
        while not self.stop.is_set():
            at = time.monotonic()
            for name in HOSTS:
                self.misses[name] = 0 if self.f.ready(name) else self.misses[name] + 1
            self.stop.wait(max(0.0, at + 1.0 - time.monotonic()))

    def hosts_in(self):
        return [name for name in HOSTS if self.misses[name] < 2]

    def choose(self, client):
        """The host of a new connection. Other zones, which would serve if no
        host of this one were in, are not part of the case."""
        good = self.hosts_in()
        among = good if 2 * len(good) >= len(HOSTS) else HOSTS
        return among[client % len(among)]


class Call(threading.Thread):
    def __init__(self, f, host, request, tokens):
        super().__init__(daemon=True)
        self.f, self.host, self.request, self.tokens = f, host, request, tokens
        self.status, self.body, self.whole, self.at, self.ended = None, b'', False, 0.0, 0.0

    def run(self):
        head = ('POST /report/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nModel: m\r\n'
                'Token-Counts: 3000,%d\r\nPrompt-Prefix: 5c1e07a2:79,%s:2921\r\n'
                'Deadline-Ms: 39000\r\nAuthorization: Bearer key-1\r\nContent-Length: 8\r\n\r\n'
                'a prompt' % (self.request, self.tokens, self.request.encode().hex()[-8:]))
        got = b''
        try:
            with socket.create_connection(('127.0.0.1', self.f.hosts[self.host]['ports'][0]),
                                          timeout=1.0) as conn:
                conn.sendall(head.encode())
                self.at = time.monotonic()
                conn.settimeout(30.0)
                while not self.whole:
                    data = conn.recv(65536)
                    if not data:
                        break
                    got += data
                    self.whole = self.is_whole(got)
        except OSError as error:
            self.status = type(error).__name__
        self.ended = time.monotonic()
        if got.startswith(b'HTTP/1.1 ') and b'\r\n\r\n' in got:
            self.status = int(got[9:12])
            self.body = got.split(b'\r\n\r\n', 1)[1]

    @staticmethod
    def is_whole(got):
        if b'\r\n\r\n' not in got:
            return False
        head, body = got.split(b'\r\n\r\n', 1)
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                return len(body) >= int(line.split(b':')[1])
        return body.endswith(b'0\r\n\r\n')


def play(f, record):
    f.order('config', config())
    names = [name for name, _ in ALL]
    for name in names:
        f.start(name)
    if not f.wait_ready(names):
        raise fleet.CannotRun('the hosts were not ready in time')
    stop = threading.Event()
    balancer = Balancer(f, stop)
    balancer.start()
    time.sleep(4.0)
    calls = []

    def call(host, tokens):
        one = Call(f, host, 'r%07d' % len(calls), tokens)
        calls.append(one)
        one.start()

    for host in HOSTS:  # streams as they run all day; they keep the hosts busy
        for _ in range(2):
            call(host, LONG)
    time.sleep(1.5)

    begun = time.monotonic()
    sigterm = {}
    for n, host in enumerate(STOPPED):
        if TROUBLE:
            time.sleep(max(0.0, begun + n * GAP_S - time.monotonic()))
            f.terminate(host)
            sigterm[host] = time.monotonic()
    time.sleep(max(0.0, begun + CALLS_FROM_S - time.monotonic()))
    ins = {}
    while time.monotonic() < begun + CALLS_TO_S:
        at = time.monotonic()
        call(balancer.choose(len(calls)), SHORT)
        ins[calls[-1].request] = balancer.hosts_in()
        time.sleep(max(0.0, at + CALLS_EVERY_S - time.monotonic()))
    # The platform's SIGKILL, after grace_s.
    for host, at in sorted(sigterm.items(), key=lambda entry: entry[1]):
        time.sleep(max(0.0, at + GRACE_S - time.monotonic()))
        f.kill(host)
    for one in calls:
        if one.tokens == SHORT:
            one.join(30.0)
    stop.set()
    runs = {run['request'] for run in f.order('record')['runs']}
    lost = 0
    record.write('times in s; 0: the first SIGTERM; SIGTERM at %s\n' % {
        host: round(at - begun, 3) for host, at in sigterm.items()})
    for one in calls:
        if one.tokens != SHORT:
            continue
        after = one.at - sigterm[one.host] if one.host in sigterm else None
        is_lost = (after is not None and after > 3.0 and one.ended <= sigterm[one.host] + GRACE_S + 1
                   and one.request in runs and not one.whole)
        lost += is_lost
        record.write('%8.3f %s to %s (in: %s)%s -> %s, %d of %d events, %s, %s, ended at %.3f%s\n' % (
            one.at - begun, one.request, one.host, ','.join(ins[one.request]),
            '' if after is None else ', %.3f after its SIGTERM' % after, one.status,
            one.body.count(b'id: '), SHORT // 4, 'whole' if one.whole else 'not whole',
            'run' if one.request in runs else 'not run', one.ended - begun,
            '  LOST' if is_lost else ''))
    whole = sum(1 for one in calls if one.tokens == SHORT and one.whole and one.status == 200)
    line = 'LOST: %d streams; %d of %d were answered whole' % (
        lost, whole, sum(1 for one in calls if one.tokens == SHORT))
    print(line)
    record.write(line + '\n')
    if whole == 0:
        raise fleet.CannotRun('no stream was served')
    return lost > 0


def main():
    with open(os.path.join(HERE, 'record.txt'), 'w') as record:
        try:
            f = fleet.Fleet(12, 3, EVENT_MS, ALL, list(ZONES), memory_mb=260, extra=52)
        except (OSError, IndexError, ValueError) as error:
            print('cannot run:', error)
            return 2
        try:
            return 1 if play(f, record) else 0
        except (fleet.CannotRun, OSError, ValueError, KeyError) as error:
            print('cannot run:', error)
            record.write('cannot run: %s\n' % error)
            return 2
        finally:
            f.close()


if __name__ == '__main__':
    sys.exit(main())
