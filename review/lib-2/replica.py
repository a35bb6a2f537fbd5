"""Stand-in of a replica: a model engine, or a plain service without models.

Options come as one JSON object: id, models, slots, events, event_ms, work_ms
and journal, the file to which a line is written for each request that ran.
`POST /control` changes options while it runs. A replica in trouble spoils one
of `spoil_every` answers at most, in the ways of `spoil_how` in turn:

- endless: bytes without end in place of the body
- overwrite: a line of the answer is overwritten by bytes that are no such line
- tear: the connection is closed within the size of a chunk

With `spoil_usage` these are answers to items with that token usage only.
"""

import json
import sys
import threading
import time

import http_server

# Neither a field of a head nor a line of an event.
GARBAGE = b'\x9c\x07\xe1\xff\x15\x8e\xf3'


class Replica(http_server.Server):
    """Answers as the pages say; `spoil` makes it a replica in trouble."""

    def __init__(self, options):
        super().__init__(options.get('port', 0))
        self.options = {'slots': 12, 'events': 6, 'event_ms': 8,
                        'work_ms': 20, 'models': [], **options}
        self.versions = dict.fromkeys(self.options['models'], 1)
        self.lock = threading.Lock()
        self.orders = 0
        self.fence = -1
        self.busy = False
        self.running = 0
        self.answers = 0
        self.spoiled = 0
        self.counted = 0
        self.spoiled_now = 0
        self.journal = open(self.options['journal'], 'a', buffering=1)

    def note(self, **fields):
        fields = {'t': round(time.monotonic(), 3), 'replica':
                  self.options['id'], **fields}
        self.journal.write(json.dumps(fields) + '\n')

    def handle(self, request):
        if request.path == '/control':
            with self.lock:
                self.options.update(json.loads(request.body))
                # At most that share of the answers from now on.
                self.counted = self.answers
                self.spoiled_now = 0
            self.note(control=json.loads(request.body))
            return 200, {}, {'answers': self.answers, 'spoiled': self.spoiled,
                             'running': self.running}
        echo = {}
        request_id = request.headers.get('lentildeal-request-id')
        if request_id:
            echo['Lentildeal-Request-Id'] = request_id
        expected = request.headers.get('lentildeal-expect-instance')
        if expected not in (None, self.options['id']):
            return 421, echo, b''
        if request.path == '/report':
            return self.report(echo, request)
        if request.path == '/order':
            return self.order(json.loads(request.body), echo)
        if request.path == '/healthz':
            return 200, {'Lentildeal-Replica-Id': self.options['id']}, b''
        return self.run(request, request_id, echo)

    def report(self, echo, request):
        if self.options.get('spoil_reports'):
            return self.spoil(request, echo, 'report')
        return 200, echo, {
            'Stage': 'both',
            'Models': [{'Name': n, 'Version': v, 'Adapters': []}
                       for n, v in self.versions.items()],
            'Busy': self.busy, 'Sequence': self.orders, 'Waiting': 0,
            'Running': self.running, 'KvUsed': 0, 'KvTotal': 90000,
            'Handles': 0}

    def order(self, order, echo):
        with self.lock:
            self.note(order=order)
            if self.busy or order.get('Expect', self.orders) != self.orders:
                return 409, echo, b''
            if order['Fence'] < self.fence:
                return 412, echo, b''
            self.fence = order['Fence']
            if self.versions.get(order['Model'], 0) >= order['Version']:
                return 200, echo, b''
            self.orders += 1
            self.busy = True
        threading.Timer(0.9, self.load, (order,)).start()
        return 202, echo, b''

    def load(self, order):
        self.versions[order['Model']] = order['Version']
        self.busy = False

    def run(self, request, request_id, echo):
        model = request.headers.get('lentildeal-model')
        with self.lock:
            if self.running >= self.options['slots']:
                return 503, {**echo, 'Lentildeal-Not-Executed': '1'}, b''
            self.running += 1
            self.answers += 1
            number = self.answers
            how = self.choose_spoiling(request, number)
        try:
            self.note(run=request_id, path=request.path,
                      after=request.headers.get('last-event-id'))
            echo['Lentildeal-Response-Stamp'] = f'{self.options["id"]}.{number}'
            if how == 'endless':
                return self.spoil(request, echo, request_id)
            if model is None:
                time.sleep(self.options['work_ms'] / 1000)
                body = b'answer to ' + (request_id or '').encode()
                return self.answer(request, echo, body, number, bool(how))
            return self.stream(request, request_id, model, echo, how)
        finally:
            with self.lock:
                self.running -= 1

    def choose_spoiling(self, request, number):
        """How an answer is spoiled, an empty text if it is not."""
        every = self.options.get('spoil_every', 0)
        if not every or number - self.counted < every * (self.spoiled_now + 1):
            return ''
        usage = self.options.get('spoil_usage')
        if usage not in (None, request.headers.get('lentildeal-token-usage')):
            return ''
        self.spoiled += 1
        self.spoiled_now += 1
        ways = self.options.get('spoil_how', ['endless'])
        return ways[self.spoiled % len(ways)]

    def answer(self, request, echo, body, number, is_spoiled):
        """Sends a plain answer, now and then in chunks and with a close.

        A spoiled one has a line in its head that is no header field.
        """
        is_last = number % 20 == 0
        if is_spoiled:
            is_last = self.spoiled % 2 == 0
        fields = {'Content-Type': 'application/octet-stream'}
        if is_last:
            fields.update(echo)
            fields['Connection'] = 'close'
            fields['Transfer-Encoding'] = 'chunked'
            body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        else:
            fields['Content-Length'] = len(body)
            fields.update(echo)
        lines = [f'{n}: {v}'.encode() for n, v in fields.items()]
        if is_spoiled:
            # The line of the proof, or the one of the body's coding.
            self.note(spoiled=echo['Lentildeal-Request-Id'],
                      line=lines[-1].decode())
            lines[-1] = GARBAGE
        request.socket.sendall(b'\r\n'.join(
            [b'HTTP/1.1 200 OK', *lines, b'', body]))
        if is_last:
            raise http_server.Closed

    def stream(self, request, request_id, model, echo, how):
        usage = request.headers.get('lentildeal-token-usage')
        events = self.options['events']
        if usage == self.options.get('long_usage', ''):
            events = self.options['long_events']
        after = request.headers.get('last-event-id')
        start = 0 if after is None else int(after) + 1
        if how:
            self.note(spoiled=request_id, how=how)
        connection = request.socket
        # Leading zeros in the size of a chunk mean nothing.
        size = b'%08x\r\n' if self.options.get('padded') else b'%x\r\n'
        connection.sendall(self.head(echo, {
            'Lentildeal-Weight-Versions': self.versions[model],
            'Content-Type': 'text/event-stream'}))
        for number in range(start, events):
            is_place = number - start == self.options.get('spoil_at', 1)
            if how == 'tear' and is_place:
                connection.sendall(b'000')
                raise http_server.Closed
            time.sleep(self.options['event_ms'] / 1000)
            text = f'data: {request_id}/{number}'.encode()
            if how == 'overwrite' and is_place:
                text = GARBAGE
            data = b'id: %d\n%s\n\n' % (number, text)
            connection.sendall(size % len(data) + data + b'\r\n')
        connection.sendall(size % 0 + b'\r\n')

    def head(self, echo, more):
        lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
        lines += [f'{n}: {v}' for n, v in {**echo, **more}.items()]
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'

    def spoil(self, request, echo, name):
        """Sends bytes that are no answer until the caller closes."""
        self.note(spoiled=name)
        connection = request.socket
        models = {}
        if 'lentildeal-model' in request.headers:
            model = request.headers['lentildeal-model']
            models = {'Lentildeal-Weight-Versions': self.versions[model],
                      'Content-Type': 'text/event-stream'}
        connection.sendall(self.head(echo, models))
        chunk = self.options.get('spoil_chunk', '\n' * 4096).encode()
        chunk = b'%x\r\n%s\r\n' % (len(chunk), chunk)
        block = chunk * max(1, 65536 // len(chunk))
        sent = 0
        try:
            while True:
                connection.sendall(block)
                sent += len(block)
        except OSError:
            self.note(closed_by_caller=name, sent=sent)
            raise


if __name__ == '__main__':
    server = Replica(json.loads(sys.argv[1]))
    print(server.port, flush=True)
    server.serve_forever()
