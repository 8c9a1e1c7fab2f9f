import t from 'tap';
import { decodeBackendRequest } from '#mesh/DecodeBackendRequest.js';
import { encodeBackendRequest } from '#mesh/EncodeBackendRequest.js';
import { TransitMeter } from '#mesh/TransitMeter.js';
import { createTestRequest } from './CreateTestRequest.js';

/** Difference between the wall clocks of the two VMs. */
const CLOCK_OFFSET_MS = 40_000;

const TRANSIT_MS = 20;

t.test('request that waited to be read keeps its deadline', (t) => {
  // A daemon without processor time read requests 13 s late and ran them, as their time began anew.
  const meter = new TransitMeter();
  const receive = (sentMs: number, waitedMs: number): number | undefined => {
    const request = createTestRequest('1', { dueMs: sentMs + 1_000, targetMs: sentMs + 300 });
    const nowMs = sentMs + TRANSIT_MS + waitedMs;
    const head = encodeBackendRequest(request, sentMs, sentMs + CLOCK_OFFSET_MS);
    const measure = (sentWallMs: number): number => meter.measureMs(sentWallMs, nowMs, nowMs);
    return decodeBackendRequest(head, Buffer.alloc(0), nowMs, measure)
      .map(({ dueMs }) => dueMs - sentMs)
      .extract() as number;
  };
  t.equal(receive(100, 0), 1_000 + TRANSIT_MS);
  t.equal(receive(200, 5), 1_000 + TRANSIT_MS);
  t.equal(receive(1_000, 700), 1_000 + TRANSIT_MS);
  t.equal(receive(1_100, 4_000), 1_000 + TRANSIT_MS);
  t.end();
});

t.test('step of a clock is forgotten', (t) => {
  const meter = new TransitMeter();
  meter.measureMs(0, 0, 0);
  t.equal(meter.measureMs(1_000, 4_000, 1_000), 3_000);
  for (let nowMs = 2_000; nowMs <= 12_000; nowMs += 500) meter.measureMs(nowMs, nowMs + 3_000, nowMs);
  t.equal(meter.measureMs(13_000, 16_000, 13_000), 0);
  t.end();
});

t.test('request of an older daemon is decoded', (t) => {
  const { kind, detail } = encodeBackendRequest(createTestRequest('1'), 0, 0);
  const withoutTime = JSON.stringify((JSON.parse(detail) as readonly unknown[]).slice(0, -1));
  const decoded = decodeBackendRequest({ kind, detail: withoutTime }, Buffer.alloc(0), 0, () => 99);
  t.ok(decoded.isRight());
  t.end();
});
