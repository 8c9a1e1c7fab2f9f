import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { startCallerTask } from './StartCallerTask.js';
import { waitFor } from './WaitFor.js';

const MIB = 1024 * 1024;

/** More than the buffers of a loopback connection take while the caller does not read. */
const LARGE_BYTES = 12 * MIB;

/** Longer than an ended connection waits for its caller to close, in milliseconds. */
const LINGER_LIMIT_MS = 5_500;

const CLOSES = /\r\nconnection: close\r\n/i;

function get(id: string): string {
  return `GET /${id} HTTP/1.1\r\nHost: a\r\nX-Request-Id: ${id}\r\n\r\n`;
}

function countResponses(text: string): number {
  return text.split('HTTP/1.1 200').length - 1;
}

t.test('stop does not cut a response that waits to be written', async (t) => {
  // `closeIdleConnections` takes a connection for idle once its response was handed over.
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.respond(0, LARGE_BYTES);
  await sleep(20);
  run.task.post({ type: 'stopping' });
  await sleep(20);
  caller.socket.resume();
  await waitFor(() => caller.text().length > LARGE_BYTES);
  t.ok(caller.text().length > LARGE_BYTES, `${caller.text().length} bytes`);
});

t.test('stop does not cut a pipelined request at work behind a response being written', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(get('1') + get('2'));
  await waitFor(() => run.forwarded.length === 2);
  caller.socket.pause();
  run.respond(0, LARGE_BYTES);
  await sleep(20);
  run.task.post({ type: 'stopping' });
  await sleep(20);
  run.respond(1);
  caller.socket.resume();
  await waitFor(() => countResponses(caller.text()) === 2);
  t.equal(countResponses(caller.text()), 2);
  t.ok(CLOSES.test(caller.text()), 'the last response says that the connection ends');
});

t.test('end of the process waits for a response that is being written', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.respond(0, LARGE_BYTES);
  await sleep(20);
  run.task.post({ type: 'stopping' });
  run.task.post({ type: 'ending' });
  await sleep(20);
  t.ok(run.task.load > 0);
  caller.socket.resume();
  await waitFor(() => caller.text().length > LARGE_BYTES);
  t.ok(caller.text().length > LARGE_BYTES, `${caller.text().length} bytes`);
  await waitFor(() => run.task.load === 0);
  t.equal(run.task.load, 0, 'nothing is left to wait for');
});

t.test('requests sent behind the last response do not reset it', async (t) => {
  // The daemon closed while the caller still sent, and the reset dropped what the caller had not received.
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.task.post({ type: 'stopping' });
  run.respond(0, MIB);
  const sending = setInterval(() => caller.socket.write(get('behind')), 1);
  await sleep(200);
  clearInterval(sending);
  caller.socket.resume();
  await waitFor(() => caller.socket.destroyed);
  t.ok(caller.text().length > MIB, `${caller.text().length} bytes`);
  t.equal(caller.error(), '');
  t.equal(run.forwarded.length, 1, 'requests behind the last response are not passed on');
});

t.test('request on an idle connection is served while the daemon stops', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  run.respond(0);
  await waitFor(() => countResponses(caller.text()) === 1);
  run.task.post({ type: 'stopping' });
  await sleep(20);
  caller.socket.write(get('2'));
  await waitFor(() => run.forwarded.length === 2);
  run.respond(1);
  await waitFor(() => caller.socket.destroyed);
  t.equal(countResponses(caller.text()), 2);
  t.ok(CLOSES.test(caller.text()), 'the last response says that the connection ends');
  t.equal(run.task.load, 0);
});

t.test('idle connection ends without a reset at the end of the process', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  run.respond(0);
  await waitFor(() => countResponses(caller.text()) === 1);
  run.task.post({ type: 'stopping' });
  run.task.post({ type: 'ending' });
  caller.socket.write(get('2'));
  await waitFor(() => caller.socket.destroyed);
  t.equal(caller.error(), '');
});

t.test('caller that stops reading and closing does not hold up the end', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.task.post({ type: 'stopping' });
  run.respond(0);
  await waitFor(() => run.task.load === 1);
  await sleep(LINGER_LIMIT_MS);
  t.equal(run.task.load, 0);
});

t.test('request behind one that asks for the end of its connection is not passed on', async (t) => {
  // It was passed on, and its connection was closed without its response.
  const run = await startCallerTask(t);
  const first = get('1').replace('Host: a', 'Host: a\r\nConnection: close');
  const caller = run.send(first + get('2'));
  await waitFor(() => run.forwarded.length === 1);
  run.respond(0);
  await waitFor(() => caller.socket.destroyed);
  t.equal(run.forwarded.length, 1);
  t.equal(countResponses(caller.text()), 1);
});

t.test('bytes behind the last request do not destroy its response', async (t) => {
  // The connection was reset as one that sends bytes without a request, before the caller had read the response.
  const run = await startCallerTask(t);
  const caller = run.send(get('1').replace('Host: a', 'Host: a\r\nConnection: close'));
  caller.socket.pause();
  await waitFor(() => run.forwarded.length === 1);
  run.respond(0);
  for (let sent = 0; sent < 20; sent += 1) {
    caller.socket.write('x'.repeat(4_096));
    await sleep(100);
  }
  caller.socket.resume();
  await waitFor(() => countResponses(caller.text()) === 1 || caller.error() !== '');
  t.equal(countResponses(caller.text()), 1);
  t.equal(caller.error(), '');
});

t.test('log lines about dropped responses are limited', async (t) => {
  // Each dropped response had a line, so that callers that read nothing filled the log.
  const run = await startCallerTask(t);
  const callers = Array.from({ length: 14 }, (_, index) => run.send(get(String(index))));
  for (const { socket } of callers) socket.pause();
  await waitFor(() => run.forwarded.length === callers.length);
  for (const index of callers.keys()) run.respond(index, LARGE_BYTES);
  await sleep(20);
  const dropped = run.logger.records.filter(({ event }) => event === 'responseDropped');
  t.ok(dropped.length > 0);
  t.ok(dropped.length <= 5, `${dropped.length} lines`);
});
