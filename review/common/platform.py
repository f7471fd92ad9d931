"""Stand-ins of the platform: its store and its promotion call.

They follow PROTOCOL.md, "The platform's metadata store" and "Singleton
duties".
"""

import asyncio
import base64
import json
import time

from review.common import web

ANSWER_S = 0.004
TRANSACTION_S = 0.008


class Store:
    """Rows with versions, transactions and feeds.

    While ``is_down`` is set, each call gets 503 and nothing is done.
    """

    def __init__(self):
        self.version = 0
        self.is_down = False
        self._rows = {}
        self._changed = asyncio.Event()
        self._server = web.HttpServer(self._handle)

    async def start(self, address, port):
        await self._server.start(address, port)

    def close(self):
        self._server.close()

    def put(self, table, key, value):
        """Write a row as the operator or a server does."""
        self._set(table, key, json.dumps(value).encode())

    def drop(self, table, key):
        if (table, key) in self._rows:
            self._set(table, key, None)

    def _set(self, table, key, value):
        self.version += 1
        self._rows[table, key] = (value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def _encoded(self, table, after, is_feed):
        rows = []
        for (row_table, key), (value, version) in self._rows.items():
            if row_table != table or version <= after:
                continue
            if value is None and not is_feed:
                continue
            row = {
                'Table': table,
                'part': '',
                'Key': key,
                'Value': base64.b64encode(value or b'').decode(),
                'Ver': version,
            }
            if value is None:
                row['Deleted'] = True
            rows.append(row)
        key = 'Ver' if is_feed else 'Key'
        return sorted(rows, key=lambda row: row[key])

    def _body(self, rows):
        return {
            'rows': rows,
            'HasMore': False,
            'Ver': self.version,
            'NowMs': int(time.monotonic() * 1000),
        }

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(ANSWER_S)
        if self.is_down:
            return 503, {}
        if path == '/-/rows-get':
            rows = self._encoded(query['Table'], 0, False)
            rows = [row for row in rows if row['Key'] >= query.get('From', '')]
            return 200, self._body(rows)
        if path == '/-/rows-feed':
            return await self._feed(query)
        if path == '/-/rows-tx':
            await asyncio.sleep(TRANSACTION_S)
            if self.is_down:
                return 503, {}
            return self._transact(body)
        return 404, {}

    async def _feed(self, query):
        table, after = query['Table'], int(query['after'])
        deadline = time.monotonic() + int(query['WaitMs']) / 1000
        while not self._encoded(table, after, True):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            try:
                async with asyncio.timeout(min(remaining, 0.1)):
                    await self._changed.wait()
            except TimeoutError:
                pass
            if self.is_down:
                return 503, {}
        return 200, self._body(self._encoded(table, after, True))

    def _transact(self, body):
        holds = True
        current = []
        for condition in body.get('Precondition', []):
            key = condition['Table'], condition['Key']
            value, version = self._rows.get(key, (None, 0))
            holds &= (0 if value is None else version) == condition['Ver']
            current += [
                row
                for row in self._encoded(key[0], 0, False)
                if row['Key'] == key[1]
            ]
        if not holds:
            return 412, self._body(current)
        for entry in body.get('Puts', []):
            value = base64.b64decode(entry['Value'])
            self._set(entry['Table'], entry['Key'], value)
        for entry in body.get('Deletes', []):
            self._set(entry['Table'], entry['Key'], None)
        return 200, self._body([])


class Cloud:
    """The call POST /promotion, with its fencing tokens.

    ``late_s`` is asked for each call: None if it is answered, otherwise it
    gets no response and is executed that many seconds later; its fence is
    checked at that time.
    """

    def __init__(self, record):
        self._record = record
        self._groups = {}
        self._tokens = {}
        self.late_s = lambda service: None
        self.calls = 0
        self.late_calls = 0
        self.orders = []
        self._server = web.HttpServer(self._handle)

    def add_group(self, group):
        self._groups[group.service] = group

    async def start(self, address, port):
        await self._server.start(address, port)

    def close(self):
        self._server.close()

    async def _handle(self, method, path, query, headers, body):
        if path != '/promotion':
            return 404, {}
        service, target_id = body['Service'], body['Id']
        token = int(headers['x-samphirestand-fence-token'])
        holder = headers['x-samphirestand-duty-holder']
        self.calls += 1
        self.orders.append((service, target_id, token, time.monotonic()))
        late_s = self.late_s(service)
        await asyncio.sleep(ANSWER_S)
        self._record(
            f'promotion call: {service} {target_id} token {token} '
            f'from {holder}'
            + (f', no response, late {late_s} s' if late_s else '')
        )
        if late_s is not None:
            self.late_calls += 1
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._execute, service, target_id, token)
            return None
        return self._execute(service, target_id, token), {}

    def _execute(self, service, target_id, token):
        if token < self._tokens.get(service, 0):
            status = 409
        else:
            self._tokens[service] = token
            accepted = self._groups[service].order_promotion(target_id)
            status = 200 if accepted else 409
        self._record(
            f'promotion executed: {service} {target_id} token {token}: '
            f'{status}'
        )
        return status
