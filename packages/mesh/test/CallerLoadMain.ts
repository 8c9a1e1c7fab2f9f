// Simulates callers in a worker thread, so that a busy test does not slow them. Each request opens a
// connection; its caller
// closes it at the deadline and retries once. The id of an attempt is its index in `leftMs`.
import { connect } from 'node:net';
import { workerData } from 'node:worker_threads';
import type { CallerLoad } from './CallerLoad.js';

const TICK_INTERVAL_MS = 10;
const MS_PER_SECOND = 1_000;
const DEADLINE_MS = 300;
const ATTEMPTS = 2;

const load = workerData as CallerLoad;
let due = 0;
let lastMs = performance.now();

function end(request: number, code: number): void {
  if (load.ends[request] === 0) load.ends[request] = code;
}

function retry(request: number, attempt: number, pauseMs: number): void {
  if (attempt + 1 < ATTEMPTS) setTimeout(() => send(request, attempt + 1), pauseMs);
  else end(request, 2);
}

function send(request: number, attempt: number): void {
  const id = request * ATTEMPTS + attempt;
  const socket = connect(load.port, '127.0.0.1');
  let isOver = false;
  const finish = (next: () => void): void => {
    if (isOver) return;
    isOver = true;
    clearTimeout(timer);
    socket.destroy();
    next();
  };
  const leave = (): void => {
    socket.once('close', () => {
      load.leftMs[id] = Date.now();
    });
    retry(request, attempt, 0);
  };
  const timer = setTimeout(() => finish(leave), DEADLINE_MS);
  socket.write(
    `GET / HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nX-Deadline: ${DEADLINE_MS}\r\n\r\n`,
  );
  socket.on('data', (chunk: Buffer) => {
    const head = chunk.toString('latin1');
    const afterMs = Number(/Retry-After: (\S+)/.exec(head)?.[1] ?? 0) * MS_PER_SECOND;
    finish(() => (head.startsWith('HTTP/1.1 200') ? end(request, 1) : retry(request, attempt, afterMs)));
  });
  socket.on('error', () => finish(leave));
}

setInterval(() => {
  const nowMs = performance.now();
  due += ((nowMs - lastMs) * (load.perSecond[0] ?? 0)) / MS_PER_SECOND;
  lastMs = nowMs;
  for (; due >= 1; due -= 1) send(Atomics.add(load.started, 0, 1), 0);
}, TICK_INTERVAL_MS);
