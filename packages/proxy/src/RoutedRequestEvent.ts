import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { ResponseHead } from '#proxy/ResponseHead.js';
import type { FlowControl } from '#proxy/FlowControl.js';

/**
 * Progress of an order: either one `refused`, or one `head`, any number of `data`, and then `end` or `broken`.
 * `broken` without a `head` means that no answer came.
 */
export type RoutedRequestEvent =
  | { readonly type: 'refused'; readonly fields: RouterErrorFields }
  | { readonly type: 'head'; readonly head: ResponseHead; readonly flow: FlowControl }
  | { readonly type: 'data'; readonly chunk: Buffer }
  | { readonly type: 'end' }
  | { readonly type: 'broken'; readonly fields: RouterErrorFields };
