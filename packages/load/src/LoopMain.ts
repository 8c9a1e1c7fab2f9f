import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { LoopOptions } from '#load/LoopOptions.js';
import type { LoopResult } from '#load/LoopResult.js';

/** Closed-loop load: sends each request on a connection once the last one there was answered, and prints the result. */
const options = JSON.parse(process.argv[2] ?? '{}') as LoopOptions;
const pool = new Pool(options.url, { connections: options.connections, pipelining: 1 });
const latencies = build({ numberOfSignificantValueDigits: 3 });
const endMs = performance.now() + options.durationMs;
let succeeded = 0;
let bad = 0;

async function sendRequests(index: number): Promise<void> {
  while (performance.now() < endMs) {
    const startMs = performance.now();
    const key = options.keys[(index * 31 + succeeded) % options.keys.length] ?? '';
    const headers = { ...options.headers, 'amr-key': key };
    const response = await pool.request({ path: options.path, method: 'GET', headers });
    await response.body.dump();
    if (response.statusCode === 200) {
      succeeded += 1;
      latencies.recordValue(Math.round((performance.now() - startMs) * 1000));
    } else bad += 1;
  }
}

await Promise.all(Array.from({ length: options.connections }, (_, index) => sendRequests(index)));
const result: LoopResult = {
  ratePerSecond: succeeded / (options.durationMs / 1000),
  bad,
  p50Us: latencies.getValueAtPercentile(50),
  p99Us: latencies.getValueAtPercentile(99),
};
process.stdout.write(JSON.stringify(result));
process.exit(0);
