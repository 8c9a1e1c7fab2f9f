/**
 * Time for which a daemon may still use an outdated view: a change is known everywhere within 3 s. The former holder of a
 * quota may grant for this long.
 */
export const maxViewAgeMs = 3_000;
