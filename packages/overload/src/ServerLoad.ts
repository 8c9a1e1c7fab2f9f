import type { LoadReport } from '#balance/LoadReport.js';

/** The figures of a server's load report that decide whether it has room. */
export type ServerLoad = Omit<LoadReport, 'slowdown'>;
