import { encodeNonce } from '#model/EncodeNonce.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelMessage } from '#model/ModelMessage.js';
import type { ModelState } from '#model/ModelState.js';
import { numberings } from '#model/Numberings.js';
import { getModelParts } from '#model/GetModelParts.js';
import { encodeNumbers } from '#model/EncodeNumbers.js';

/**
 * Returns the canonical key of a state. States with equal keys differ at most in the numbering of interchangeable
 * witnesses and of servers 1 and 2. All data of one witness forms a column, and the columns are sorted; servers 1 and 2
 * are listed in the order of their encodings.
 */
export function encodeState(state: ModelState, config: ModelConfig): string {
  const parts = getModelParts(config);
  const processes = state.processes.map((process) => parts.processes.describe(process));
  const cell = parts.cells.describe(state.cell);
  const left = `${processes[1]?.plain ?? ''}/${cell.key}`;
  const right = `${processes[2]?.swapped ?? ''}/${cell.swapped}`;
  const isPlain = left <= right;
  const order = isPlain ? numberings.plain : numberings.swapped;
  let key = encodeCounters(state) + (isPlain ? cell.key : cell.swapped);
  for (const index of order) key += (isPlain ? processes[index]?.plain : processes[index]?.swapped) ?? '';
  const columns = state.witnesses.map((witness, index) => {
    let text = config.witnessSets.length === 1 ? '' : encodeMembership(index, config);
    text += parts.witnesses.describe(witness).key;
    for (const other of order) text += processes[other]?.links[index] ?? '';
    return state.messages.length === 0 ? text : text + encodeMessages(state, index, order);
  });
  return `${key}|${columns.sort().join('|')}`;
}

function encodeCounters({ budget, ...state }: ModelState): string {
  return encodeNumbers([
    state.acknowledged,
    state.callerToken,
    state.runs,
    budget.takeovers,
    budget.registrations,
    budget.moves,
    budget.witnessRestarts,
    budget.daemonRestarts,
    budget.delays,
    budget.attempts,
    Number(state.hasLostAssignment),
    Number(state.hasReverted),
  ]);
}

/** Distinguishes witnesses of different witnessSets, since only those of the same sets are interchangeable. */
function encodeMembership(witness: number, { witnessSets }: ModelConfig): string {
  return witnessSets.map((set) => Number(set.includes(witness))).join('');
}

function encodeMessages(state: ModelState, witness: number, order: readonly number[]): string {
  const texts = state.messages
    .filter((message) => message.witness === witness)
    .map((message) => encodeMessage(message, order));
  return `!${texts.sort().join('!')}`;
}

function encodeMessage(message: ModelMessage, order: readonly number[]): string {
  const process = order.indexOf(message.process);
  switch (message.type) {
    case 'renew': {
      const { epoch, sentAtMs, continuous, nonce } = message.request;
      return encodeNumbers([1, process, epoch, sentAtMs, Number(continuous), encodeNonce(nonce)]);
    }
    case 'renewReply': {
      const { epoch, sentAtMs, nonce, promisedEpoch } = message.reply;
      return encodeNumbers([2, process, epoch, sentAtMs, encodeNonce(nonce), promisedEpoch]);
    }
    case 'promiseReply':
      return encodeNumbers([3, process, message.fenceId, message.reply.sentAtMs, message.reply.remainingMs]);
  }
}
