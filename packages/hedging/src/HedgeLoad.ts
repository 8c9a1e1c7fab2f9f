import type { LoadReport } from '#balance/LoadReport.js';

/** The part of a load report that tells whether a backend server has a free slot. */
export type HedgeLoad = Pick<LoadReport, 'running' | 'queued' | 'slots'>;
