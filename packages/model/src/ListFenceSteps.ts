import type { PromiseReply } from '#lease/PromiseReply.js';
import type { PromiseRequest } from '#lease/PromiseRequest.js';
import { stepFence } from '#lease/StepFence.js';
import { stepWitness } from '#lease/StepWitness.js';
import type { WitnessState } from '#lease/WitnessState.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelMessage } from '#model/ModelMessage.js';
import type { ModelState } from '#model/ModelState.js';
import type { ModelStep } from '#model/ModelStep.js';
import { internExchange } from '#model/InternExchange.js';
import { getModelParts } from '#model/GetModelParts.js';
import { spendBudget } from '#model/SpendBudget.js';
import { withProcess } from '#model/WithProcess.js';

interface PromiseOutcome {
  readonly state: ModelState;
  readonly reply: PromiseReply;
}

/** Lists the promise requests of new owners; a reply arrives at once or is delayed. */
export function listFenceSteps(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  const promiseSteps = state.processes.flatMap((process, index) =>
    process.fences.flatMap((fence) => {
      const { commands } = stepFence(fence, { type: 'tick', nowMs: 0 }, config.lease);
      return commands.flatMap((command) =>
        command.type === 'sendPromise'
          ? listPromiseSteps(
              state,
              index,
              fence.context.fence.id,
              Number(command.witness),
              command.request,
              config,
            )
          : [],
      );
    }),
  );
  return [
    ...promiseSteps,
    ...state.messages.flatMap((message, index) => deliver(state, message, index, config)),
  ];
}

function listPromiseSteps(
  state: ModelState,
  index: number,
  fenceId: number,
  witness: number,
  request: PromiseRequest,
  config: ModelConfig,
): readonly ModelStep[] {
  const process = state.processes[index];
  const before = state.witnesses[witness];
  if (process === undefined || before === undefined) return [];
  const label = `w${witness + 1} promises ${process.name} not to renew epoch ${request.epoch}`;
  const number = fenceId * state.witnesses.length + witness;
  const result = getModelParts(config).promises.get(process, before, number, () => {
    const outcome = answerPromise(state, witness, request, config);
    const next =
      outcome &&
      handleReply(outcome.state, index, fenceId, witness, weakenReply(outcome.reply, config), config);
    return internExchange(next, index, witness, config) ?? { process, witness: before, isAnswered: false };
  });
  if (!result.isAnswered) return [];
  const witnesses = state.witnesses.with(witness, result.witness);
  const step = {
    label,
    state: { ...state, witnesses, processes: state.processes.with(index, result.process) },
  };
  return [step, ...listDelayedReply(state, index, fenceId, witness, request, config)];
}

function listDelayedReply(
  state: ModelState,
  index: number,
  fenceId: number,
  witness: number,
  request: PromiseRequest,
  config: ModelConfig,
): readonly ModelStep[] {
  if (state.budget.delays === 0) return [];
  const outcome = answerPromise(state, witness, request, config);
  if (outcome === undefined) return [];
  const name = state.processes[index]?.name ?? '';
  const label = `w${witness + 1} promises ${name} not to renew epoch ${request.epoch}, and the reply is delayed`;
  const message: ModelMessage = {
    type: 'promiseReply',
    process: index,
    witness,
    fenceId,
    reply: outcome.reply,
  };
  const messages = [...state.messages, message];
  return [{ label, state: spendBudget({ ...outcome.state, messages }, 'delays') }];
}

function deliver(
  state: ModelState,
  message: ModelMessage,
  index: number,
  config: ModelConfig,
): readonly ModelStep[] {
  if (message.type !== 'promiseReply') return [];
  const rest = { ...state, messages: state.messages.filter((_, other) => other !== index) };
  const reply = weakenReply(message.reply, config);
  const name = state.processes[message.process]?.name ?? '';
  const label = `delayed promise of w${message.witness + 1} reaches ${name} (${index + 1})`;
  return [
    { label, state: handleReply(rest, message.process, message.fenceId, message.witness, reply, config) },
  ];
}

function answerPromise(
  state: ModelState,
  witness: number,
  request: PromiseRequest,
  config: ModelConfig,
): PromiseOutcome | undefined {
  const before = state.witnesses[witness];
  if (before === undefined) return undefined;
  const decision = stepWitness(before, { type: 'promise', request, nowMs: 0 }, config.lease);
  const reply = decision.commands.find((command) => command.type === 'replyPromise')?.reply;
  if (reply === undefined) return undefined;
  const after = config.disabledGuard === 'promiseKept' ? before : decision.state;
  return {
    state: { ...state, witnesses: state.witnesses.with(witness, after) },
    reply: { ...reply, remainingMs: weakenRemaining(reply.remainingMs, before, request, config) },
  };
}

function handleReply(
  state: ModelState,
  index: number,
  fenceId: number,
  witness: number,
  reply: PromiseReply,
  config: ModelConfig,
): ModelState {
  const process = state.processes[index];
  if (process === undefined) return state;
  const event = { type: 'promiseReply', witness: String(witness), nowMs: 0, ...reply } as const;
  const fences = process.fences.map((fence) =>
    fence.context.fence.id === fenceId ? stepFence(fence, event, config.lease).state : fence,
  );
  return withProcess(state, index, { fences });
}

/** Counts the age of a promise from the reply if the guard `promiseSendTime` is disabled. */
function weakenReply(reply: PromiseReply, config: ModelConfig): PromiseReply {
  return config.disabledGuard === 'promiseSendTime' ? { ...reply, sentAtMs: 0 } : reply;
}

/** Returns the remaining time that a witness without the disabled guard reports. */
function weakenRemaining(
  remainingMs: number,
  before: WitnessState,
  request: PromiseRequest,
  config: ModelConfig,
): number {
  if (config.disabledGuard === 'expiry') return 0;
  const record = before.context.records.get(request.serverId);
  const isKnown = record?.epoch === request.epoch || record?.previousEpoch === request.epoch;
  const hasPromisedBefore = (record?.promisedEpoch ?? 0) >= request.epoch;
  if (isKnown || hasPromisedBefore) return remainingMs;
  if (config.disabledGuard === 'unknownWaits') return 0;
  if (config.disabledGuard !== 'otherEpoch' || record === undefined || record.epoch === 0) return remainingMs;
  return Math.max(0, record.grantedAtMs + config.lease.witnessExpiryMs);
}
