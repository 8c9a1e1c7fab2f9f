import t from 'tap';
import { listQuotaMembers } from '#mesh/ListQuotaMembers.js';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';

t.test('removed VM does not stay the holder of quotas', (t) => {
  // Its entry stays in the store, and its tenants would have the reserved part of their rate for good.
  const view = createView([
    createEntry('ready'),
    createEntry('left', { state: 'gone' }),
    createEntry('restarting', { state: 'absent' }),
    createEntry('draining', { state: 'draining' }),
  ]);
  t.same(
    listQuotaMembers(view).map(({ serverId }) => serverId),
    ['ready', 'restarting', 'draining'],
  );
  t.end();
});
