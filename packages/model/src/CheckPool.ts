import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type { CheckJob } from '#model/CheckJob.js';
import type { Exploration } from '#model/Exploration.js';

/** Runs explorations on a fixed number of worker threads, each of which takes the next job when it has finished one. */
export class CheckPool {
  private readonly workers: readonly Worker[];

  public constructor(size: number) {
    const script = new URL('CheckWorker.js', import.meta.url);
    this.workers = Array.from({ length: size }, () => new Worker(script));
  }

  /** Runs all jobs and returns the results in the order of the jobs. */
  public async run(jobs: readonly CheckJob[]): Promise<readonly Exploration[]> {
    const queue = jobs.map((job, index) => ({ job, index })).values();
    const resultsByWorker = await Promise.all(this.workers.map((worker) => runJobs(worker, queue)));
    const results = new Map(resultsByWorker.flat());
    return jobs.flatMap((_, index) => results.get(index) ?? []);
  }

  /** Terminates the threads. */
  public async stop(): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.terminate()));
  }
}

async function runJobs(
  worker: Worker,
  queue: Iterable<{ readonly job: CheckJob; readonly index: number }>,
): Promise<readonly (readonly [number, Exploration])[]> {
  const results: (readonly [number, Exploration])[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  for (const { job, index } of queue) {
    worker.postMessage(job);
    const [result] = (await once(worker, 'message')) as [Exploration];
    results.push([index, result]);
  }
  return results;
}
