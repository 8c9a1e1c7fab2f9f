import type { CallerReply } from '#mesh/CallerReply.js';

/** A response of the router itself to a caller. */
export type CallerRefusal = CallerReply & { readonly type: 'refusal' };
