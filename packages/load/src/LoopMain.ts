import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { LoopOptions } from '#load/LoopOptions.js';
import type { LoopResult } from '#load/LoopResult.js';

/** Sends requests over a fixed number of connections, each as soon as the last was answered, and prints the result. */
const options = JSON.parse(process.argv[2] ?? '{}') as LoopOptions;
const pool = new Pool(options.url, { connections: options.connections, pipelining: 1 });
const latencies = build({ numberOfSignificantValueDigits: 3 });
const endMs = performance.now() + options.durationMs;
let good = 0;
let bad = 0;

async function loop(index: number): Promise<void> {
  while (performance.now() < endMs) {
    const startMs = performance.now();
    const key = options.keys[(index * 31 + good) % options.keys.length] ?? '';
    const headers = { ...options.headers, 'amr-key': key };
    const answer = await pool.request({ path: options.path, method: 'GET', headers });
    await answer.body.dump();
    if (answer.statusCode === 200) {
      good += 1;
      latencies.recordValue(Math.round((performance.now() - startMs) * 1000));
    } else bad += 1;
  }
}

await Promise.all(Array.from({ length: options.connections }, (_, index) => loop(index)));
const result: LoopResult = {
  ratePerSecond: good / (options.durationMs / 1000),
  bad,
  p50Us: latencies.getValueAtPercentile(50),
  p99Us: latencies.getValueAtPercentile(99),
};
process.stdout.write(JSON.stringify(result));
process.exit(0);
