import { Left, Right } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import type { ChartRules } from '#chart/ChartRules.js';
import { compileChart } from '#chart/CompileChart.js';
import type { AdminCommand } from '#admin/AdminCommand.js';
import type { AdminContext } from '#admin/AdminContext.js';
import type { AdminMessage } from '#admin/AdminMessage.js';
import file from '../charts/admin.json' with { type: 'json' };

const rules: ChartRules<AdminContext, AdminMessage, AdminCommand> = {
  guards: {},
  actions: {
    keepReply: (context, event) => ({
      context: event.type === 'start' ? { reply: event.reply } : context,
      commands: [],
    }),
    open: (context) => ({ context, commands: [{ type: 'open' }] }),
    reportPort: (context, event) => ({
      context,
      commands:
        event.type === 'listening' ? [{ type: 'report', reply: context.reply, port: Right(event.port) }] : [],
    }),
    reportFailure: (context, event) => ({
      context,
      commands:
        event.type === 'failed'
          ? [{ type: 'report', reply: context.reply, port: Left(describeFailure(event.error)) }]
          : [],
    }),
    reportStop: (context) => ({
      context,
      commands: [{ type: 'report', reply: context.reply, port: Left(describeFailure(new Error('stopped'))) }],
    }),
    answer: (context, event) => ({
      context,
      commands: event.type === 'request' ? [{ type: 'answer', req: event.req, res: event.res }] : [],
    }),
    close: (context) => ({ context, commands: [{ type: 'close' }] }),
  },
};

/** State chart of the administration server, from opening its port to closing it. */
export const adminChart = compileChart('admin.json', file, rules);

function describeFailure(error: Error): RouterError {
  const message = `the administration API cannot listen: ${error.message}`;
  return new RouterError(
    { code: 'adminFailed', step: 'admin', peer: '', ran: 'not run', status: 500 },
    message,
    error,
  );
}
