import type { ChartUpdate } from '#chart/ChartUpdate.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { ExchangeCommand } from '#proxy/ExchangeCommand.js';
import type { ExchangeContext } from '#proxy/ExchangeContext.js';
import type { ExchangeEvent } from '#proxy/ExchangeEvent.js';
import file from '../charts/exchange.json' with { type: 'json' };

type Update = ChartUpdate<ExchangeContext, ExchangeCommand>;

/** Chart of one caller request, from its arrival to the end of its response. */
export const exchangeChart: CompiledChart<ExchangeContext, ExchangeEvent, ExchangeCommand> = compileChart<
  ExchangeContext,
  ExchangeEvent,
  ExchangeCommand
>('exchange.json', file, {
  guards: { mayRetry: (_, event) => hasFault(event) && event.retryDelayMs !== undefined },
  actions: {
    dispatch,
    cancelRequest: (context) => emit(context, { type: 'cancelRequest', attempt: context.attempt }),
    scheduleRetry,
    sendHead: (context, event) =>
      event.type === 'head'
        ? emit(context, { type: 'sendHead', head: event.head, flow: event.flow })
        : emit(context),
    writeChunk: (context, event) =>
      event.type === 'data' ? emit(context, { type: 'writeChunk', chunk: event.chunk }) : emit(context),
    sendRefusal: (context, event) =>
      hasFault(event) ? emit(context, reportFault(context, event.fields)) : emit(context),
    sendFailure: (context, event) =>
      hasFault(event) ? emit(context, { type: 'sendFailure', fields: event.fields }) : emit(context),
    sendLastFault,
    abortResponse: (context, event) =>
      hasFault(event) ? emit(context, { type: 'abortResponse', fields: event.fields }) : emit(context),
    endResponse: (context) => emit(context, { type: 'endResponse' }),
    sendTimeout: (context) => emit(context, { type: 'sendTimeout' }),
    abandon: (context) => emit(context, { type: 'abandon' }),
    noteFlushed: (context) => emit(context, { type: 'noteFlushed' }),
  },
});

function dispatch(context: ExchangeContext): Update {
  const attempt = context.attempt + 1;
  return emit({ ...context, attempt }, { type: 'dispatch', attempt });
}

function scheduleRetry(context: ExchangeContext, event: ExchangeEvent): Update {
  if (!hasFault(event)) return emit(context);
  return emit(
    { ...context, lastFault: event.fields, mayHaveRun: context.mayHaveRun || event.fields.ran !== 'not run' },
    { type: 'scheduleRetry', delayMs: event.retryDelayMs ?? 0 },
  );
}

function sendLastFault(context: ExchangeContext): Update {
  const fields = context.lastFault;
  if (fields === undefined) return emit(context, { type: 'sendTimeout' });
  return emit(context, reportFault(context, fields));
}

/**
 * Reports an error as a refusal, which proves that the request did not run, only if no earlier attempt may have run.
 */
function reportFault({ mayHaveRun }: ExchangeContext, fields: RouterErrorFields): ExchangeCommand {
  if (fields.ran !== 'not run') return { type: 'sendFailure', fields };
  return mayHaveRun
    ? { type: 'sendFailure', fields: { ...fields, ran: 'unknown' } }
    : { type: 'sendRefusal', fields };
}

function emit(context: ExchangeContext, ...commands: readonly ExchangeCommand[]): Update {
  return { context, commands };
}

function hasFault(
  event: ExchangeEvent,
): event is Extract<ExchangeEvent, { readonly type: 'refused' | 'broken' }> {
  return event.type === 'refused' || event.type === 'broken';
}
