import type { ChartUpdate } from '#chart/ChartUpdate.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { BackendChartCommand } from '#proxy/BackendChartCommand.js';
import type { BackendChartContext } from '#proxy/BackendChartContext.js';
import type { BackendChartEvent } from '#proxy/BackendChartEvent.js';
import file from '../charts/backend.json' with { type: 'json' };

type Update = ChartUpdate<BackendChartContext, BackendChartCommand>;

/** Compiles the chart of the local backend server, which is `absent` until it announces itself, and then `ready`. */
export function compileBackendChart(): CompiledChart<
  BackendChartContext,
  BackendChartEvent,
  BackendChartCommand
> {
  return compileChart<BackendChartContext, BackendChartEvent, BackendChartCommand>('backend.json', file, {
    guards: {
      sameProcess: (context, event) =>
        event.type === 'announced' && event.facts.incarnation === context.facts?.incarnation,
    },
    actions: { adopt, refresh, discard },
  });
}

function adopt(context: BackendChartContext, event: BackendChartEvent): Update {
  if (event.type !== 'announced') return { context, commands: [] };
  const { facts, nowMs } = event;
  return {
    context: { facts, announcedAtMs: nowMs },
    commands: [
      { type: 'connect', facts },
      { type: 'publish', facts },
    ],
  };
}

function refresh(context: BackendChartContext, event: BackendChartEvent): Update {
  if (event.type !== 'announced') return { context, commands: [] };
  const { facts, nowMs } = event;
  return { context: { facts, announcedAtMs: nowMs }, commands: [{ type: 'publish', facts }] };
}

function discard(context: BackendChartContext): Update {
  return {
    context: { ...context, facts: undefined },
    commands: [{ type: 'disconnect' }, { type: 'publish', facts: undefined }],
  };
}
