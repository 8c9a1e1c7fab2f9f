import t from 'tap';
import { ConnectionLimit } from '#connection/ConnectionLimit.js';

t.test('connection that sent nothing ends first', (t) => {
  const limit = new ConnectionLimit<string>(3);
  for (const each of ['served', 'silent', 'later']) t.equal(limit.add(each), undefined);
  limit.noteBusy('served');
  limit.noteIdle('served');
  t.equal(limit.add('new'), 'silent');
  t.equal(limit.add('newer'), 'later');
  t.equal(limit.size, 3);
  t.end();
});

t.test('connection that has been idle for longest ends next', (t) => {
  const limit = new ConnectionLimit<string>(2);
  for (const each of ['a', 'b']) {
    limit.add(each);
    limit.noteBusy(each);
  }
  limit.noteIdle('b');
  limit.noteIdle('a');
  t.equal(limit.add('c'), 'b');
  t.end();
});

t.test('request at work is not ended for a new connection', (t) => {
  const limit = new ConnectionLimit<string>(1);
  limit.add('a');
  limit.noteBusy('a');
  t.equal(limit.add('b'), 'b', 'the new connection ends');
  t.equal(limit.size, 1);
  limit.remove('a');
  t.equal(limit.add('c'), undefined);
  t.same(limit.listQuiet(), ['c']);
  t.end();
});
