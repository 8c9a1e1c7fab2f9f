import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelMessage } from '#model/ModelMessage.js';
import type { ModelState } from '#model/ModelState.js';
import { oldestSend } from '#model/OldestSend.js';
import { getModelParts } from '#model/GetModelParts.js';

/** Maps states that the protocol cannot distinguish to one state, which keeps the model finite. */
export function normalizeState(state: ModelState, config: ModelConfig): ModelState {
  const parts = getModelParts(config);
  return {
    ...state,
    cell: parts.cells.intern(state.cell),
    // Only a store that accepts writes based on older versions can lose an acknowledged assignment.
    acknowledged: config.disabledGuard === 'conditionalUpdate' ? state.acknowledged : 0,
    witnesses: state.witnesses.map((witness) => parts.witnesses.intern(witness)),
    processes: state.processes.map((process) => parts.processes.intern(process)),
    messages: state.messages.map((message) => normalizeMessage(message, config)),
  };
}

function normalizeMessage(message: ModelMessage, config: ModelConfig): ModelMessage {
  const { leaseMs, promiseMaxAgeMs } = config.lease;
  switch (message.type) {
    case 'renew': {
      const sentAtMs = Math.max(-leaseMs, message.request.sentAtMs);
      return { ...message, request: { ...message.request, sentAtMs } };
    }
    case 'renewReply': {
      const sentAtMs = Math.max(-leaseMs, message.reply.sentAtMs);
      return { ...message, reply: { ...message.reply, sentAtMs } };
    }
    case 'promiseReply': {
      const oldest = Math.max(oldestSend, -promiseMaxAgeMs - 1);
      return { ...message, reply: { ...message.reply, sentAtMs: Math.max(oldest, message.reply.sentAtMs) } };
    }
  }
}
