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
import { partsOf } from '#model/PartsOf.js';
import { spendBudget } from '#model/SpendBudget.js';
import { withProcess } from '#model/WithProcess.js';

interface Answer {
  readonly state: ModelState;
  readonly reply: PromiseReply;
}

/** Lists the promise requests of new owners; a reply arrives at once or is delayed. */
export function listFenceSteps(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  const asks = state.processes.flatMap((process, index) =>
    process.fences.flatMap((fence) => {
      const { commands } = stepFence(fence, { type: 'tick', nowMs: 0 }, config.lease);
      return commands.flatMap((command) =>
        command.type === 'sendPromise'
          ? listAsk(state, index, fence.context.fence.id, Number(command.witness), command.request, config)
          : [],
      );
    }),
  );
  return [...asks, ...state.messages.flatMap((message, index) => deliver(state, message, index, config))];
}

function listAsk(
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
  const result = partsOf(config).promises.get(process, before, number, () => {
    const answer = answerPromise(state, witness, request, config);
    const next =
      answer && handleReply(answer.state, index, fenceId, witness, changeReply(answer.reply, config), config);
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
  const answer = answerPromise(state, witness, request, config);
  if (answer === undefined) return [];
  const name = state.processes[index]?.name ?? '';
  const label = `w${witness + 1} promises ${name} not to renew epoch ${request.epoch}, and the reply is delayed`;
  const message: ModelMessage = {
    type: 'promiseReply',
    process: index,
    witness,
    fenceId,
    reply: answer.reply,
  };
  const messages = [...state.messages, message];
  return [{ label, state: spendBudget({ ...answer.state, messages }, 'delays') }];
}

function deliver(
  state: ModelState,
  message: ModelMessage,
  index: number,
  config: ModelConfig,
): readonly ModelStep[] {
  if (message.type !== 'promiseReply') return [];
  const rest = { ...state, messages: state.messages.filter((_, other) => other !== index) };
  const reply = changeReply(message.reply, config);
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
): Answer | undefined {
  const before = state.witnesses[witness];
  if (before === undefined) return undefined;
  const decision = stepWitness(before, { type: 'promise', request, nowMs: 0 }, config.lease);
  const reply = decision.commands.find((command) => command.type === 'replyPromise')?.reply;
  if (reply === undefined) return undefined;
  const after = config.guardOff === 'promiseKept' ? before : decision.state;
  return {
    state: { ...state, witnesses: state.witnesses.with(witness, after) },
    reply: { ...reply, remainingMs: changeRemaining(reply.remainingMs, before, request, config) },
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

function changeReply(reply: PromiseReply, config: ModelConfig): PromiseReply {
  return config.guardOff === 'promiseSendTime' ? { ...reply, sentAtMs: 0 } : reply;
}

/** Replaces the reported time by that of a witness without the guard that is switched off. */
function changeRemaining(
  remainingMs: number,
  before: WitnessState,
  request: PromiseRequest,
  config: ModelConfig,
): number {
  if (config.guardOff === 'expiry') return 0;
  const record = before.context.records.get(request.serverId);
  const isKnown = record?.epoch === request.epoch || record?.previousEpoch === request.epoch;
  const isAskedBefore = (record?.promisedEpoch ?? 0) >= request.epoch;
  if (isKnown || isAskedBefore) return remainingMs;
  if (config.guardOff === 'unknownWaits') return 0;
  if (config.guardOff !== 'otherEpoch' || record === undefined || record.epoch === 0) return remainingMs;
  return Math.max(0, record.grantedAtMs + config.lease.witnessExpiryMs);
}
