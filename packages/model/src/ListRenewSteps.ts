import type { RenewReply } from '#lease/RenewReply.js';
import type { RenewRequest } from '#lease/RenewRequest.js';
import { stepHolder } from '#lease/StepHolder.js';
import { stepWitness } from '#lease/StepWitness.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelMessage } from '#model/ModelMessage.js';
import type { ModelState } from '#model/ModelState.js';
import type { ModelStep } from '#model/ModelStep.js';
import { internExchange } from '#model/InternExchange.js';
import { getModelParts } from '#model/GetModelParts.js';
import { spendBudget } from '#model/SpendBudget.js';
import { withoutNonce } from '#model/WithoutNonce.js';
import { withProcess } from '#model/WithProcess.js';

/**
 * Lists the renewals: each exchange of a holder with one witness completes at once, or its request or its reply is
 * delayed. A lost message is an exchange that does not happen, or a delayed message that never arrives.
 */
export function listRenewSteps(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  const steps = state.processes.flatMap((_, index) => listSends(state, index, config));
  return [...steps, ...state.messages.flatMap((message, index) => deliver(state, message, index, config))];
}

function listSends(state: ModelState, index: number, config: ModelConfig): readonly ModelStep[] {
  const process = state.processes[index];
  if (process?.holder === undefined) return [];
  const { commands } = stepHolder(process.holder, { type: 'tick', nowMs: 0 }, config.lease);
  return commands.flatMap((command) => {
    if (command.type !== 'sendRenew') return [];
    const request = weakenRequest(command.request, config);
    return listExchange(state, index, Number(command.witness), request, config);
  });
}

function listExchange(
  state: ModelState,
  index: number,
  witness: number,
  request: RenewRequest,
  config: ModelConfig,
): readonly ModelStep[] {
  const name = state.processes[index]?.name ?? '';
  const completed = exchangeAtOnce(state, index, witness, request, config);
  const steps: readonly ModelStep[] =
    completed === undefined ? [] : [{ label: `${name} renews at w${witness + 1}`, state: completed }];
  if (state.budget.delays === 0) return steps;
  const delayed = spendBudget(state, 'delays');
  const sent: ModelMessage = { type: 'renew', process: index, witness, request };
  return [
    ...steps,
    {
      label: `${name} sends a renewal to w${witness + 1} that is delayed`,
      state: withMessage(delayed, sent),
    },
    ...listDelayedReply(delayed, index, witness, request, config),
  ];
}

function exchangeAtOnce(
  state: ModelState,
  index: number,
  witness: number,
  request: RenewRequest,
  config: ModelConfig,
): ModelState | undefined {
  const process = state.processes[index];
  const before = state.witnesses[witness];
  if (process === undefined || before === undefined) return undefined;
  const { renewals } = getModelParts(config);
  const result = renewals.get(process, before, witness, () => {
    const next = exchange(state, index, witness, request, config);
    return internExchange(next, index, witness, config) ?? { process, witness: before, isAnswered: false };
  });
  if (!result.isAnswered) return undefined;
  return {
    ...state,
    processes: state.processes.with(index, result.process),
    witnesses: state.witnesses.with(witness, result.witness),
  };
}

function listDelayedReply(
  state: ModelState,
  index: number,
  witness: number,
  request: RenewRequest,
  config: ModelConfig,
): readonly ModelStep[] {
  const handled = handleRenew(state, witness, request, config);
  if (handled.reply?.granted !== true) return [];
  const name = state.processes[index]?.name ?? '';
  const reply: ModelMessage = { type: 'renewReply', process: index, witness, reply: handled.reply };
  const label = `${name} renews at w${witness + 1} and the reply is delayed`;
  return [{ label, state: withMessage(handled.state, reply) }];
}

function deliver(
  state: ModelState,
  message: ModelMessage,
  index: number,
  config: ModelConfig,
): readonly ModelStep[] {
  const messages = state.messages.filter((_, other) => other !== index);
  const rest = { ...state, messages };
  const name = state.processes[message.process]?.name ?? '';
  const route = `${name} at w${message.witness + 1} (${index + 1})`;
  if (message.type === 'renew') {
    const next = exchange(rest, message.process, message.witness, message.request, config);
    return next === undefined ? [] : [{ label: `delayed renewal of ${route} arrives`, state: next }];
  }
  if (message.type !== 'renewReply') return [];
  const reply = weakenReply(message.reply, config);
  const next = handleReply(rest, message.process, message.witness, reply, config);
  return [{ label: `delayed reply to ${route} arrives`, state: next }];
}

function exchange(
  state: ModelState,
  index: number,
  witness: number,
  request: RenewRequest,
  config: ModelConfig,
): ModelState | undefined {
  const handled = handleRenew(state, witness, request, config);
  if (handled.reply === undefined) return undefined;
  return handleReply(handled.state, index, witness, weakenReply(handled.reply, config), config);
}

function handleRenew(
  state: ModelState,
  witness: number,
  request: RenewRequest,
  config: ModelConfig,
): { readonly state: ModelState; readonly reply: RenewReply | undefined } {
  const before = state.witnesses[witness];
  if (before === undefined) return { state, reply: undefined };
  const decision = stepWitness(before, { type: 'renew', request, nowMs: 0 }, config.lease);
  const reply = decision.commands.find((command) => command.type === 'replyRenew')?.reply;
  return { state: { ...state, witnesses: state.witnesses.with(witness, decision.state) }, reply };
}

function handleReply(
  state: ModelState,
  index: number,
  witness: number,
  reply: RenewReply,
  config: ModelConfig,
): ModelState {
  const holder = state.processes[index]?.holder;
  if (holder === undefined) return state;
  const event = { type: 'renewReply', witness: String(witness), nowMs: 0, ...reply } as const;
  const next = stepHolder(holder, event, config.lease).state;
  const nonce = state.witnesses[witness]?.context.nonce;
  return withProcess(state, index, {
    holder: reply.nonce === nonce ? next : withoutNonce(next, String(witness)),
  });
}

function withMessage(state: ModelState, message: ModelMessage): ModelState {
  return { ...state, messages: [...state.messages, message] };
}

/** Marks every renewal as continuous if the guard `memory` is disabled. */
function weakenRequest(request: RenewRequest, config: ModelConfig): RenewRequest {
  return config.disabledGuard === 'memory' ? { ...request, continuous: true } : request;
}

/** Counts the lease from the reply if the guard `sendTime` is disabled. */
function weakenReply(reply: RenewReply, config: ModelConfig): RenewReply {
  return config.disabledGuard === 'sendTime' ? { ...reply, sentAtMs: 0 } : reply;
}
