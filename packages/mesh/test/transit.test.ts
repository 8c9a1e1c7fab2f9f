import { connect } from 'node:http2';
import t from 'tap';
import { SystemClock } from '#core/SystemClock.js';
import { decodeBackendRequest } from '#mesh/DecodeBackendRequest.js';
import { encodeBackendRequest } from '#mesh/EncodeBackendRequest.js';
import { readClocks } from '#mesh/ReadClocks.js';
import { relayPaths } from '#mesh/RelayPaths.js';
import { TransitMeter } from '#mesh/TransitMeter.js';
import { createTestRequest } from './CreateTestRequest.js';
import { startReceiver } from './StartReceiver.js';

/** Differences between the clocks of the two VMs. */
const WALL_OFFSET_MS = 40_000;
const MONOTONIC_OFFSET_MS = 7_000_000;

const TRANSIT_MS = 20;

/** Delivers messages of one peer, and measures their delays. */
class Peer {
  public readonly meter = new TransitMeter();
  private wallStepMs = 0;
  private suspendedMs = 0;

  /** Sets the wall clock of the peer back. */
  public stepBack(ms: number): void {
    this.wallStepMs -= ms;
  }

  /** Suspends the peer, whose monotonic clock then lags. */
  public suspend(ms: number): void {
    this.suspendedMs += ms;
  }

  /** Returns the measured delay of a message that waited for `waitedMs` to be read. */
  public send(sentMs: number, waitedMs: number): number {
    const sent = {
      monotonicMs: sentMs + MONOTONIC_OFFSET_MS - this.suspendedMs,
      wallMs: sentMs + WALL_OFFSET_MS + this.wallStepMs,
    };
    const nowMs = sentMs + TRANSIT_MS + waitedMs;
    return this.meter.measureMs(sent, { monotonicMs: nowMs, wallMs: nowMs });
  }
}

t.test('time that a message waits to be read is measured', (t) => {
  const peer = new Peer();
  t.equal(peer.send(0, 0), 0);
  t.equal(peer.send(1_000, 700), 700);
  t.equal(peer.send(2_000, 0), 0);
  for (let sentMs = 3_000; sentMs < 28_000; sentMs += 500) t.equal(peer.send(sentMs, 13_000), 13_000);
  t.end();
});

t.test('step of the wall clock is no delay', (t) => {
  const peer = new Peer();
  peer.send(0, 0);
  peer.stepBack(3_000);
  t.equal(peer.send(1_000, 0), 0);
  t.equal(peer.send(2_000, 400), 400);
  t.end();
});

t.test('suspension of the peer is no delay', (t) => {
  const peer = new Peer();
  peer.send(0, 0);
  peer.suspend(4_000);
  t.equal(peer.send(5_000, 0), 0);
  t.end();
});

t.test('request that waited to be read keeps its deadline', (t) => {
  // A daemon without processor time read requests 13 s late and ran them, as their time began anew.
  const request = createTestRequest('1', { dueMs: 1_000, targetMs: 300 });
  const head = encodeBackendRequest(request, { monotonicMs: 0, wallMs: 0 });
  const decoded = decodeBackendRequest(head, Buffer.alloc(0), 14_000, () => 13_000).unsafeCoerce();
  t.equal(decoded.dueMs, 2_000);
  t.equal(decoded.targetMs, 1_300);
  t.end();
});

t.test('delay of the first message on a new session is known', async (t) => {
  // A copy that is sent again comes on a new session, and its delay was taken for the usual one.
  const received: number[] = [];
  const { address } = await startReceiver(t, ({ dueMs }, reply) => {
    received.push(dueMs - performance.now());
    reply({ type: 'lost', code: 'timeout', load: undefined });
  });
  for (const ageMs of [0, 5_000]) {
    const now = readClocks(new SystemClock());
    const sent = { monotonicMs: now.monotonicMs - ageMs, wallMs: now.wallMs - ageMs };
    const request = createTestRequest('1', { dueMs: sent.monotonicMs + 20_000 });
    const session = connect(`http://${address}`);
    const { kind, detail } = encodeBackendRequest(request, sent);
    const stream = session.request({
      ':method': 'POST',
      ':path': relayPaths.requests,
      'amr-kind': kind,
      'amr-detail': detail,
    });
    await new Promise((resolve) => stream.on('close', resolve).resume().end());
    session.destroy();
  }
  const [first = 0, second = 0] = received;
  t.ok(first > 15_000, `${first} ms left`);
  t.ok(second < 15_500, `${second} ms left`);
});

t.test('request of an older daemon is decoded', (t) => {
  const { kind, detail } = encodeBackendRequest(createTestRequest('1'), { monotonicMs: 0, wallMs: 0 });
  const withoutTime = JSON.stringify((JSON.parse(detail) as readonly unknown[]).slice(0, -1));
  const decoded = decodeBackendRequest({ kind, detail: withoutTime }, Buffer.alloc(0), 0, () => 99);
  t.ok(decoded.isRight());
  t.end();
});
