import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import type { ResponseEvent } from '#load/ResponseEvent.js';
import type { SendEvent } from '#load/SendEvent.js';

/** One event of a recorded run. All times are wall-clock times of one machine in milliseconds. */
export type HistoryEvent = SendEvent | ResponseEvent | ExecutionEvent;
