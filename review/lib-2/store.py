"""Stand-in of the platform's store: append, read and newest records."""

import base64
import collections
import struct
import sys
import threading
import time

import http_server

LENGTH = struct.Struct('>I')


class Store(http_server.Server):
    """Keeps every record; answers each call in a few milliseconds."""

    def __init__(self, port=0):
        super().__init__(port)
        self.topics = collections.defaultdict(list)
        self.changed = threading.Condition()

    def handle(self, request):
        topic = request.query.get('Topic', '')
        if request.path == '/log-append':
            return self.append(topic, request)
        if request.path == '/log-read':
            return self.read(topic, request)
        if request.path == '/log-newest':
            return self.newest(topic)
        return 404, {}, b''

    def append(self, topic, request):
        time.sleep(0.004)
        records, position = [], 0
        while position < len(request.body):
            (size,) = LENGTH.unpack_from(request.body, position)
            records.append(request.body[position + 4:position + 4 + size])
            position += 4 + size
        with self.changed:
            stream = self.topics[topic]
            offset = len(stream)
            stream.extend(records)
            self.changed.notify_all()
        return 200, {}, {'Offset': offset, 'End': offset + len(records)}

    def read(self, topic, request):
        start = int(request.query['From'])
        limit = int(request.query.get('MaxKb', '1024')) * 1024
        until = time.monotonic() + int(request.query.get('WaitMs', '0')) / 1e3
        time.sleep(0.002)
        with self.changed:
            stream = self.topics[topic]
            while len(stream) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
            found = stream[start:start + 2000]
            body = [struct.pack('>QQ', len(stream), 0)]
        size = 0
        for record in found:
            if size and size + len(record) > limit:
                break
            size += len(record) + 4
            body += [LENGTH.pack(len(record)), record]
        return 200, {}, b''.join(body)

    def newest(self, topic):
        time.sleep(0.004)
        with self.changed:
            stream = list(self.topics[topic])
        entries = {}
        for offset, record in enumerate(stream):
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            entries.pop(key, None)
            if value:
                entries[key] = {
                    'Key': key, 'Value': base64.b64encode(value).decode(),
                    'Offset': offset}
        return 200, {}, {'Entries': list(entries.values()),
                         'HasMore': False, 'End': len(stream)}


if __name__ == '__main__':
    server = Store(int(sys.argv[1]) if len(sys.argv) > 1 else 0)
    print(server.port, flush=True)
    server.serve_forever()
