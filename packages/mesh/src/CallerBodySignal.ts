import type { BodyFault } from '#core/BodyFault.js';
import type { HeldBody } from '#core/HeldBody.js';

/** What `CallerBodyReader` reports. */
export type CallerBodySignal =
  | { readonly type: 'complete'; readonly body: HeldBody }
  | { readonly type: 'fault'; readonly fault: BodyFault }
  /** A body that is not kept has ended. */
  | { readonly type: 'discarded' };
