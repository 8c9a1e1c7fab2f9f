import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { BodyBudget } from '#core/BodyBudget.js';
import { HeldBody } from '#core/HeldBody.js';
import { startCallerTask } from './StartCallerTask.js';
import { waitFor } from './WaitFor.js';

const MIB = 1024 * 1024;

function post(headers: string, body = ''): string {
  return `POST /p HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\n${headers}\r\n\r\n${body}`;
}

t.test('body that stalls is refused at the deadline', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(post('Content-Length: 10\r\nX-Deadline: 200', '12345'));
  await waitFor(() => caller.text() !== '');
  t.match(caller.text(), /^HTTP\/1\.1 408 /);
  await waitFor(() => caller.socket.destroyed);
  t.ok(caller.socket.destroyed, 'the connection is closed');
  t.equal(run.forwarded.length, 0);
  // The caller closes first, and the daemon notes it afterwards.
  await waitFor(() => run.task.load === 0);
  t.equal(run.task.load, 0);
});

t.test('body that stops halfway has no effect', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(post('Content-Length: 10', '12345'));
  await waitFor(() => run.task.load === 1);
  caller.socket.end();
  await waitFor(() => run.task.load === 0);
  t.equal(run.task.load, 0);
  t.equal(run.forwarded.length, 0);
});

t.test('announced length above the limit is refused at once', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(post(`Content-Length: ${9 * MIB}`));
  await waitFor(() => caller.text() !== '');
  t.match(caller.text(), /^HTTP\/1\.1 413 /);
});

t.test('endless body is refused and its connection closed', async (t) => {
  // Its bytes were read and dropped until the caller closed.
  const run = await startCallerTask(t);
  const caller = run.send(post('Transfer-Encoding: chunked'));
  const chunk = `10000\r\n${'x'.repeat(65_536)}\r\n`;
  const sending = setInterval(() => caller.socket.destroyed || caller.socket.write(chunk.repeat(4)), 1);
  t.teardown(() => clearInterval(sending));
  await waitFor(() => caller.text() !== '');
  t.match(caller.text(), /^HTTP\/1\.1 413 /);
  await waitFor(() => caller.socket.destroyed);
  t.ok(caller.socket.destroyed);
});

t.test('bytes after a body do not replace the response', async (t) => {
  // The caller got 400 for a request that ran.
  const run = await startCallerTask(t);
  const caller = run.send(post('Content-Length: 5', '12345\0\0\0'));
  await waitFor(() => run.forwarded.length === 1);
  t.equal(run.forwarded[0]?.request.body.toString(), '12345');
  run.respond(0);
  await waitFor(() => caller.socket.destroyed);
  t.match(caller.text(), /^HTTP\/1\.1 200 [^]*xx$/);
  t.notMatch(caller.text(), / 400 /);
});

t.test('length and chunked coding together are refused', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(post('Content-Length: 5\r\nTransfer-Encoding: chunked', '5\r\n12345\r\n0\r\n\r\n'));
  await waitFor(() => caller.socket.destroyed);
  t.match(caller.text(), /^HTTP\/1\.1 400 /);
  t.equal(run.forwarded.length, 0);
});

t.test('malformed chunk is refused as not run', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(post('Transfer-Encoding: chunked', '5\r\n12345\r\nzz\r\n'));
  await waitFor(() => caller.socket.destroyed);
  t.match(caller.text(), /^HTTP\/1\.1 400 [^]*malformedBody/);
  t.equal(run.forwarded.length, 0);
  t.equal(run.task.load, 0);
});

t.test('oversized head is refused with its status', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(post(`X-Long: ${'x'.repeat(300 * 1024)}`));
  await waitFor(() => caller.socket.destroyed);
  t.match(caller.text(), /^HTTP\/1\.1 431 /);
});

t.test('bodies of requests without a reply share a memory limit', async (t) => {
  // Only bodies that were being read counted, so that waiting requests could exhaust the memory.
  const run = await startCallerTask(t);
  const body = 'x'.repeat(8 * MIB);
  const callers: ReturnType<Awaited<ReturnType<typeof startCallerTask>>['send']>[] = [];
  for (let index = 0; index < 6; index += 1) {
    const caller = run.send(post(`Content-Length: ${body.length}`, body));
    callers.push(caller);
    await waitFor(() => run.forwarded.length > index || caller.text() !== '');
  }
  t.match(
    callers.map((caller) => caller.text().slice(9, 12)),
    ['', '', '', '503', '503', '503'],
  );
  run.respond(0);
  await waitFor(() => callers[0]?.text() !== '');
  const next = run.send(post(`Content-Length: ${body.length}`, body));
  await waitFor(() => run.forwarded.length === 4 || next.text() !== '');
  t.equal(run.forwarded.length, 4, 'a reply frees the memory');
});

t.test('many small bodies are bounded, too', async (t) => {
  const run = await startCallerTask(t);
  const body = 'x'.repeat(200 * 1024);
  const callers = Array.from({ length: 100 }, () => run.send(post(`Content-Length: ${body.length}`, body)));
  await waitFor(() => run.forwarded.length + callers.filter((caller) => caller.text() !== '').length === 100);
  t.ok(run.forwarded.length * body.length <= 12 * MIB, `${run.forwarded.length} bodies are held`);
  t.ok(run.forwarded.length >= 40, `${run.forwarded.length} bodies are held`);
});

t.test('request is open until its response is written', async (t) => {
  // A shutdown took it for ended, and cut off the rest of its response.
  const run = await startCallerTask(t);
  const caller = run.send(post('Content-Length: 1', '1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.respond(0, 7 * MIB);
  await sleep(50);
  t.equal(run.task.load, 1);
  caller.socket.resume();
  await waitFor(() => run.task.load === 0);
  t.equal(run.task.load, 0);
  await waitFor(() => caller.text().length > 7 * MIB);
  t.ok(caller.text().length > 7 * MIB, `${caller.text().length} bytes`);
});

t.test('request whose body is incomplete at a stop is refused as not run', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(post('Content-Length: 10', '12345'));
  const forwarded = run.send(post('Content-Length: 5', '12345'));
  await waitFor(() => run.task.load === 2 && run.forwarded.length === 1);
  run.task.post({ type: 'stopping' });
  run.task.post({ type: 'refusing' });
  await waitFor(() => caller.text() !== '');
  t.match(caller.text(), /^HTTP\/1\.1 503 [^]*stopping/);
  run.respond(0);
  await waitFor(() => forwarded.text() !== '');
  t.match(forwarded.text(), /^HTTP\/1\.1 200 /);
  const late = run.send(post('Content-Length: 10', '12345'));
  await waitFor(() => late.text() !== '');
  t.match(late.text(), /^HTTP\/1\.1 503 /);
  late.socket.write('67890');
  await waitFor(() => late.socket.destroyed);
  t.ok(late.socket.destroyed, 'the connection is closed after the body');
  t.equal(run.forwarded.length, 1);
});

t.test('body that completes while its request is refused does not keep the request open', async (t) => {
  const run = await startCallerTask(t);
  run.send(post('Content-Length: 10', '12345'));
  await waitFor(() => run.task.load === 1);
  const body = new HeldBody(Buffer.alloc(10), new BodyBudget(MIB));
  run.task.post({ type: 'refuse', exchange: 1, fault: 'timeout' });
  run.task.post({ type: 'body', exchange: 1, signal: { type: 'complete', body } });
  await sleep(10);
  t.equal(run.task.load, 0);
  t.equal(run.forwarded.length, 0);
});
