import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { ResponseHead } from '#proxy/ResponseHead.js';
import type { FlowControl } from '#proxy/FlowControl.js';

/** Events of the chart `exchange.json`: one caller request, from its arrival to the end of its response. */
export type ExchangeEvent =
  | { readonly type: 'accepted' | 'end' | 'deadline' | 'callerGone' | 'retryDue' | 'flushed' }
  | {
      readonly type: 'refused' | 'broken';
      readonly fields: RouterErrorFields;
      readonly retryDelayMs?: number;
    }
  | { readonly type: 'head'; readonly head: ResponseHead; readonly flow: FlowControl }
  | { readonly type: 'data'; readonly chunk: Buffer };
