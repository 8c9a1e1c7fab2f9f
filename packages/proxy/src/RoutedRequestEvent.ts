import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { ResponseHead } from '#proxy/ResponseHead.js';
import type { FlowControl } from '#proxy/FlowControl.js';

/**
 * Progress of a routed request: either one `refused`, or one `head`, any number of `data`, and then `end` or `broken`.
 * `broken` without a preceding `head` means that no response came.
 */
export type RoutedRequestEvent =
  | { readonly type: 'refused'; readonly fields: RouterErrorFields }
  | { readonly type: 'head'; readonly head: ResponseHead; readonly flow: FlowControl }
  | { readonly type: 'data'; readonly chunk: Buffer }
  | { readonly type: 'end' }
  | { readonly type: 'broken'; readonly fields: RouterErrorFields };
