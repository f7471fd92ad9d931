"""Database servers that keep their log over a crash, for the cases.

The project's stand-in truncates the log of a crashed server at a promotion and
reports the new term for entries that a replica has not received. These servers
follow PROTOCOL.md: a promotion rolls back what the new primary lacks when a
server reaches it, a position has the term of the last entry received, and a
primary that crashed comes back with its log.
"""

import asyncio

from standins import database_group


class Server(database_group.Server):
    """A server whose log entries carry their terms."""

    def __init__(self, *args):
        super().__init__(*args)
        self.entry_terms = []
        self.is_paused_until_promotion = False

    @property
    def position(self):
        term = self.entry_terms[-1] if self.entry_terms else 1
        return f'{term}.{len(self.log)}'

    def follow(self, primary, term):
        """Lose the lead and the pause; the log follows when it is received."""
        self.is_primary = False
        self.paused_term = 0
        self.term = term
        self.copy_log(primary)

    def copy_log(self, primary):
        """Take the log of the primary if this server receives it."""
        if not self.receives_log or not primary.is_running:
            return False
        self.log = list(primary.log)
        self.entry_terms = list(primary.entry_terms)
        self.term = primary.term
        return True

    async def come_back(self):
        """Start again with the log, as a replica if another was promoted."""
        self.paused_term = 0
        self.is_primary = self.group.leader is self
        await self.start()
        primary = self.group.primary
        if primary is not None and primary is not self:
            self.copy_log(primary)
            self.register()


class Group(database_group.DatabaseGroup):
    """Servers of one service; checks each promotion against what was acked."""

    def __init__(self, service, store):
        super().__init__(service, store)
        self.acknowledged = []  # pairs of key and data
        self.lost = []
        self.note = print
        self.was_promoted = asyncio.Event()
        self.leader = None  # the primary of the newest term, up or down

    async def add(self, zone, port, is_primary):
        number = next(self._server_numbers)
        server = Server(self, f'i-{number}', zone, port, is_primary)
        self.servers[server.server_id] = server
        await server.start()
        if is_primary:
            self.leader = server
        elif self.primary is not None:
            server.copy_log(self.primary)
        return server

    def promote_server(self, server_id):
        new_primary = self.servers[server_id]
        if not new_primary.is_running or new_primary.is_primary:
            return
        keys = new_primary.data_by_key
        missing = [each for each in self.acknowledged if each[0] not in keys]
        self.note(
            f'promoted: {server_id} at {new_primary.position}; acknowledged '
            f'commits that its log lacks: {len(missing)} of '
            f'{len(self.acknowledged)}'
        )
        self.lost.extend(missing)
        self.term += 1
        self.leader = new_primary
        new_primary.paused_term = 0
        new_primary.is_primary = True
        new_primary.term = self.term
        for server in self.servers.values():
            if server is not new_primary and server.is_running:
                server.follow(new_primary, self.term)
        for server in self.servers.values():
            server.register()
        self.was_promoted.set()

    def commit_writes(self, primary, writes):
        if not primary.is_primary:
            return False
        primary.log.append(writes)
        primary.entry_terms.append(primary.term)
        others = [
            each for each in self.servers.values() if not each.is_primary
        ]
        confirming = [each for each in others if each.copy_log(primary)]
        return bool(confirming)


def replicas(group):
    return [each for each in group.servers.values() if not each.is_primary]


async def lapse(fleet, server, after_s):
    """Remove the entry of a server that is silent, as the platform does."""
    await asyncio.sleep(after_s)
    if not server.is_running:
        fleet.store.delete('servers', server.server_id)
