import t from 'tap';
import { chooseReaders } from '#fanout/ChooseReaders.js';
import { chooseSources } from '#fanout/ChooseSources.js';
import type { ReaderCandidate } from '#fanout/ReaderCandidate.js';

function createServers(count: number, failureDomain = 'd'): readonly ReaderCandidate[] {
  return Array.from({ length: count }, (_none, index) => ({
    serverId: `${failureDomain}-${index}`,
    failureDomain,
    address: `${index}:1`,
  }));
}

function listIds(servers: readonly ReaderCandidate[]): readonly string[] {
  return servers.map(({ serverId }) => serverId);
}

t.test('daemons of a small failure domain read the store themselves', (t) => {
  for (const count of [1, 2]) {
    const servers = [...createServers(count), ...createServers(5, 'e')];
    for (const own of servers.slice(0, count)) t.same(chooseSources(servers, own), []);
  }
  t.end();
});

t.test('order of the servers does not matter', (t) => {
  // Guards against daemons that disagree on who reads, as their views list the servers in different orders.
  const servers = createServers(10);
  t.same(chooseReaders(servers, 'd'), chooseReaders([...servers].reverse(), 'd'));
  t.end();
});

t.test('loss of a follower moves no reader', (t) => {
  const servers = createServers(10);
  const readers = listIds(chooseReaders(servers, 'd'));
  for (const lost of servers.filter(({ serverId }) => !readers.includes(serverId)))
    t.same(
      listIds(
        chooseReaders(
          servers.filter((each) => each !== lost),
          'd',
        ),
      ),
      readers,
    );
  t.end();
});

t.test('sources never form a circle', (t) => {
  // Guards against daemons that wait for each other while none of them reads the store.
  const servers = createServers(12);
  const sources = new Map(servers.map((own) => [own.serverId, listIds(chooseSources(servers, own))]));
  const readers = listIds(chooseReaders(servers, 'd'));
  for (const [own, ids] of sources) {
    t.equal(ids.includes(own), false);
    t.equal(ids.length === 0, readers.includes(own));
    for (const id of ids) t.notOk(sources.get(id)?.includes(own), `${id} must not read from ${own}`);
  }
  t.end();
});

t.test('followers are spread over the readers', (t) => {
  const servers = createServers(42);
  const readers = listIds(chooseReaders(servers, 'd'));
  const firsts = servers.flatMap((own) => listIds(chooseSources(servers, own)).slice(0, 1));
  t.equal(firsts.length, 40);
  for (const reader of readers) t.ok(firsts.filter((id) => id === reader).length >= 10);
  t.end();
});

t.test('daemon that its view lacks is no reader by mistake', (t) => {
  const servers = createServers(10);
  const own = { serverId: 'new', failureDomain: 'd', address: '' };
  const sources = listIds(chooseSources(servers, own));
  const isReader = listIds(chooseReaders([...servers, own], 'd')).includes('new');
  t.equal(sources.length === 0, isReader);
  t.end();
});
