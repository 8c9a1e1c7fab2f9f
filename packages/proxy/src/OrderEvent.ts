import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { AnswerHead } from '#proxy/AnswerHead.js';
import type { FlowControl } from '#proxy/FlowControl.js';

/**
 * Progress of an order: either one `refused`, or one `head`, any number of `data`, and then `end` or `broken`.
 * `broken` without a `head` means that no answer came.
 */
export type OrderEvent =
  | { readonly type: 'refused'; readonly fields: RouterErrorFields }
  | { readonly type: 'head'; readonly head: AnswerHead; readonly flow: FlowControl }
  | { readonly type: 'data'; readonly chunk: Buffer }
  | { readonly type: 'end' }
  | { readonly type: 'broken'; readonly fields: RouterErrorFields };
