import { parentPort } from 'node:worker_threads';
import type { CheckJob } from '#model/CheckJob.js';
import { runJob } from '#model/RunJob.js';

parentPort?.on('message', (job: CheckJob) => {
  parentPort?.postMessage(runJob(job));
});
