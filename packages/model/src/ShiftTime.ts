import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelMessage } from '#model/ModelMessage.js';
import type { ModelState } from '#model/ModelState.js';
import { getModelParts } from '#model/GetModelParts.js';

/** Lets one step of time pass: every recorded time moves one step into the past. */
export function shiftTime(state: ModelState, config: ModelConfig): ModelState {
  const parts = getModelParts(config);
  return {
    ...state,
    witnesses: state.witnesses.map((witness) => parts.witnesses.shift(witness)),
    processes: state.processes.map((process) => parts.processes.shift(process)),
    messages: state.messages.map(shiftMessage),
  };
}

function shiftMessage(message: ModelMessage): ModelMessage {
  switch (message.type) {
    case 'renew':
      return { ...message, request: { ...message.request, sentAtMs: message.request.sentAtMs - 1 } };
    case 'renewReply':
      return { ...message, reply: { ...message.reply, sentAtMs: message.reply.sentAtMs - 1 } };
    case 'promiseReply':
      return { ...message, reply: { ...message.reply, sentAtMs: message.reply.sentAtMs - 1 } };
  }
}
