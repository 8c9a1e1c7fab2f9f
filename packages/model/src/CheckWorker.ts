import { parentPort } from 'node:worker_threads';
import type { CheckJob } from '#model/CheckJob.js';
import { runJob } from '#model/RunJob.js';

// Entry point of the worker threads of `CheckPool`.
parentPort?.on('message', (job: CheckJob) => {
  parentPort?.postMessage(runJob(job));
});
