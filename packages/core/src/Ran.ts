/** Whether a refused or failed request ran at a backend server. */
export type Ran = 'not run' | 'ran' | 'unknown';
