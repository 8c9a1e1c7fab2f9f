/** Whether a refused or failed request ran at a backend server. */
export type ExecutionStatus = 'not run' | 'ran' | 'unknown';
