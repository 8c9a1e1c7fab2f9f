import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { ResponseHead } from '#proxy/ResponseHead.js';
import type { FlowControl } from '#proxy/FlowControl.js';

/** Commands of the chart `exchange.json`, executed by the entry task. */
export type ExchangeCommand =
  | { readonly type: 'dispatch'; readonly attempt: number }
  | { readonly type: 'cancelRequest'; readonly attempt: number }
  | { readonly type: 'scheduleRetry'; readonly delayMs: number }
  | { readonly type: 'sendHead'; readonly head: ResponseHead; readonly flow: FlowControl }
  | { readonly type: 'writeChunk'; readonly chunk: Buffer }
  | { readonly type: 'sendRefusal' | 'sendFailure'; readonly fields: RouterErrorFields }
  | { readonly type: 'abortResponse'; readonly fields: RouterErrorFields }
  | { readonly type: 'endResponse' | 'sendTimeout' | 'abandon' | 'noteFlushed' };
