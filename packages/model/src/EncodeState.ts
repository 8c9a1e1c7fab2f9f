import { encodeNonce } from '#model/EncodeNonce.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelMessage } from '#model/ModelMessage.js';
import type { ModelState } from '#model/ModelState.js';
import { numberings } from '#model/Numberings.js';
import { partsOf } from '#model/PartsOf.js';
import { toText } from '#model/ToText.js';

/**
 * Returns a key. States with equal keys differ at most in the numbering of equal witnesses and of servers 1 and 2. What
 * belongs to one witness forms a column, and the columns are sorted; servers 1 and 2 are listed in the order of their
 * texts.
 */
export function encodeState(state: ModelState, config: ModelConfig): string {
  const parts = partsOf(config);
  const processes = state.processes.map((process) => parts.processes.describe(process));
  const cell = parts.cells.describe(state.cell);
  const left = `${processes[1]?.plain ?? ''}/${cell.key}`;
  const right = `${processes[2]?.swapped ?? ''}/${cell.swapped}`;
  const isPlain = left <= right;
  const order = isPlain ? numberings.plain : numberings.swapped;
  let key = headText(state) + (isPlain ? cell.key : cell.swapped);
  for (const index of order) key += (isPlain ? processes[index]?.plain : processes[index]?.swapped) ?? '';
  const columns = state.witnesses.map((witness, index) => {
    let text = config.sets.length === 1 ? '' : membershipText(index, config);
    text += parts.witnesses.describe(witness).key;
    for (const other of order) text += processes[other]?.links[index] ?? '';
    return state.messages.length === 0 ? text : text + messagesText(state, index, order);
  });
  return `${key}|${columns.sort().join('|')}`;
}

function headText({ budget, ...state }: ModelState): string {
  return toText([
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

/** Only witnesses that belong to the same sets are interchangeable. */
function membershipText(witness: number, { sets }: ModelConfig): string {
  return sets.map((set) => Number(set.includes(witness))).join('');
}

function messagesText(state: ModelState, witness: number, order: readonly number[]): string {
  const texts = state.messages
    .filter((message) => message.witness === witness)
    .map((message) => messageText(message, order));
  return `!${texts.sort().join('!')}`;
}

function messageText(message: ModelMessage, order: readonly number[]): string {
  const process = order.indexOf(message.process);
  switch (message.type) {
    case 'renew': {
      const { epoch, sentAtMs, continuous, nonce } = message.request;
      return toText([1, process, epoch, sentAtMs, Number(continuous), encodeNonce(nonce)]);
    }
    case 'renewReply': {
      const { epoch, sentAtMs, nonce, promisedEpoch } = message.reply;
      return toText([2, process, epoch, sentAtMs, encodeNonce(nonce), promisedEpoch]);
    }
    case 'promiseReply':
      return toText([3, process, message.fenceId, message.reply.sentAtMs, message.reply.remainingMs]);
  }
}
