import type { Instance } from '#settings/Instance.js';

/** The instances of one user, for the command `demo` and for tests; daemons do not read it. */
export interface Deployment {
  readonly instances: readonly Instance[];
}
